package saddleroute

import (
	"sort"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// member is a target as a view describes it. It is immutable but for local.
type member struct {
	stage   saddlechain.Stage
	version string
	slots   int
	rate    float64
	link    time.Duration
	local   *local
}

// set holds targets that can stand in for one another.
type set struct {
	members  []*member
	upTo     []float64 // running sum of the members' speeds
	byTarget map[fireflysaddle.TargetID]int
}

func newSet() *set {
	return &set{byTarget: map[fireflysaddle.TargetID]int{}}
}

func (s *set) add(m *member) {
	before := 0.0
	if n := len(s.upTo); n > 0 {
		before = s.upTo[n-1]
	}
	s.byTarget[m.stage.Target] = len(s.members)
	s.members = append(s.members, m)
	s.upTo = append(s.upTo, before+m.speed())
}

// draw returns the index of a member with a chance proportional to its speed.
func (s *set) draw(u float64) int {
	at := u * s.upTo[len(s.upTo)-1]
	i := sort.Search(len(s.upTo), func(i int) bool { return s.upTo[i] > at })
	return min(i, len(s.members)-1)
}

// speed returns the tokens a second of all slots; a target that announced no
// rate counts as one token a second a slot.
func (m *member) speed() float64 {
	rate := m.rate
	if rate <= 0 {
		rate = 1
	}
	return rate * float64(max(m.slots, 1))
}
