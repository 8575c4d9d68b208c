package saddlegateway

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// slowPause is the mean time between the events of the drafts of a data centre
	// above which they go slowly: twice the usual, and half of one that is on time.
	slowPause = 90 * time.Millisecond
	// slowWindow is the time over which the mean is taken.
	slowWindow = 400 * time.Millisecond
	// slowEvents is the least number of events for a mean.
	slowEvents = 8
	// slowKept is for how long a data centre is called slow after a slow window.
	slowKept = 1500 * time.Millisecond
)

// slowness notices the data centres whose drafts go slowly.
type slowness struct {
	mu       sync.Mutex
	byCentre map[fireflysaddle.DataCentre]*pauses
}

// pauses are the times between events in a window.
type pauses struct {
	began time.Time
	sum   time.Duration
	count int
	until time.Time // called slow until then
}

// note takes in a pause between events of a chain through some data centres.
func (s *slowness) note(now time.Time, centres []fireflysaddle.DataCentre, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCentre == nil {
		s.byCentre = map[fireflysaddle.DataCentre]*pauses{}
	}
	for _, c := range centres {
		p, ok := s.byCentre[c]
		if !ok {
			p = &pauses{began: now}
			s.byCentre[c] = p
		}
		p.sum += pause
		p.count++
		if now.Sub(p.began) < slowWindow {
			continue
		}
		if p.count >= slowEvents && p.sum/time.Duration(p.count) > slowPause {
			p.until = now.Add(slowKept)
		}
		p.began, p.sum, p.count = now, 0, 0
	}
}

// any reports whether one of some data centres is called slow.
func (s *slowness) any(now time.Time, centres []fireflysaddle.DataCentre) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(centres, func(c fireflysaddle.DataCentre) bool {
		p, ok := s.byCentre[c]
		return ok && now.Before(p.until)
	})
}

// centres returns the data centres that are called slow.
func (s *slowness) centres(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for c, p := range s.byCentre {
		if now.Before(p.until) {
			out = append(out, string(c))
		}
	}
	slices.Sort(out)
	return out
}
