package saddlegateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// alive is for how long an engine counts as working after an event of any
	// stream that passes through it: two usual pauses.
	alive = 60 * time.Millisecond
	// stalledWith is for how long a stream must be silent to be ended when an
	// engine of its chain is found to be down.
	stalledWith = 70 * time.Millisecond
)

// watched holds the attempts in progress by the engines of their chains.
type watched struct {
	mu        sync.Mutex
	byAddress map[string]map[*watchdog]struct{}
}

func (s *watched) add(w *watchdog, chain saddlefleet.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = map[string]map[*watchdog]struct{}{}
	}
	for _, p := range chain.Parts {
		if s.byAddress[p.Address] == nil {
			s.byAddress[p.Address] = map[*watchdog]struct{}{}
		}
		s.byAddress[p.Address][w] = struct{}{}
	}
}

func (s *watched) remove(w *watchdog, chain saddlefleet.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range chain.Parts {
		delete(s.byAddress[p.Address], w)
		if len(s.byAddress[p.Address]) == 0 {
			delete(s.byAddress, p.Address)
		}
	}
}

// through returns the attempts whose chains pass through an engine.
func (s *watched) through(address string) []*watchdog {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.byAddress[address]))
}

// quiet returns the engines of a chain of which no stream shows that they work.
func (s *watched) quiet(chain saddlefleet.Chain) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, p := range chain.Parts {
		works := false
		for w := range s.byAddress[p.Address] {
			works = works || w.silent() < alive
		}
		if !works {
			out = append(out, p.Address)
		}
	}
	return out
}

// EngineDown has the attempts that wait for an engine that is found to be down go on
// without it, or ends them.
func (g *Gateway) EngineDown(address string) {
	for _, w := range g.watched.through(address) {
		if w.silent() > stalledWith {
			go w.lose(address)
		}
	}
}
