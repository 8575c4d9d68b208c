package saddleroute

import (
	"sort"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// member is a target as described by a view. It is immutable except for
// targetState.
type member struct {
	stage       saddlechain.Stage
	version     string
	slots       int           // requests that the target runs concurrently
	rate        float64       // announced tokens per second in one slot, 0: not announced
	linkLatency time.Duration // one-way latency
	targetState *targetState
}

// targetSet holds the targets among which one choice is made: those of a service,
// or the engines of a layout with the same first layer.
type targetSet struct {
	members         []*member
	cumulativeSpeed []float64                      // prefix sums of the members' speeds
	byTarget        map[fireflysaddle.TargetID]int // indices in members
}

func newTargetSet() *targetSet {
	return &targetSet{byTarget: map[fireflysaddle.TargetID]int{}}
}

func (s *targetSet) add(m *member) {
	total := 0.0
	if n := len(s.cumulativeSpeed); n > 0 {
		total = s.cumulativeSpeed[n-1]
	}
	s.byTarget[m.stage.Target] = len(s.members)
	s.members = append(s.members, m)
	s.cumulativeSpeed = append(s.cumulativeSpeed, total+m.speed())
}

// draw returns the index of a member with a probability proportional to its
// speed; u is uniformly distributed in [0, 1).
func (s *targetSet) draw(u float64) int {
	threshold := u * s.cumulativeSpeed[len(s.cumulativeSpeed)-1]
	i := sort.Search(len(s.cumulativeSpeed), func(i int) bool { return s.cumulativeSpeed[i] > threshold })
	return min(i, len(s.members)-1)
}

// speed returns the tokens per second of all slots. A target without an
// announced rate counts as one token per second and slot.
func (m *member) speed() float64 {
	rate := m.rate
	if rate <= 0 {
		rate = 1
	}
	return rate * float64(max(m.slots, 1))
}
