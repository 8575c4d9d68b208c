package saddlegateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// engineActiveWindow is how long an engine counts as active after an event of any
	// stream that passes through it. It is about twice the usual pause between events.
	engineActiveWindow = 60 * time.Millisecond
	// minStallSilence is the minimum time without an event after which a stream is rerouted
	// or aborted if an engine of its chain is found to be down or stalled.
	minStallSilence = 70 * time.Millisecond
)

// attemptIndex maps engine addresses to the attempts in progress whose chains pass
// through them.
type attemptIndex struct {
	mu        sync.Mutex
	byAddress map[string]map[*watchdog]struct{}
}

func (x *attemptIndex) add(w *watchdog, chain saddlefleet.Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byAddress == nil {
		x.byAddress = map[string]map[*watchdog]struct{}{}
	}
	for _, p := range chain.Parts {
		if x.byAddress[p.Address] == nil {
			x.byAddress[p.Address] = map[*watchdog]struct{}{}
		}
		x.byAddress[p.Address][w] = struct{}{}
	}
}

func (x *attemptIndex) remove(w *watchdog, chain saddlefleet.Chain) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range chain.Parts {
		delete(x.byAddress[p.Address], w)
		if len(x.byAddress[p.Address]) == 0 {
			delete(x.byAddress, p.Address)
		}
	}
}

// passingThrough returns the attempts whose chains pass through an engine.
func (x *attemptIndex) passingThrough(address string) []*watchdog {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Collect(maps.Keys(x.byAddress[address]))
}

// silentEngines returns the engines of a chain through which no stream has received an
// event within engineActiveWindow.
func (x *attemptIndex) silentEngines(chain saddlefleet.Chain) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, p := range chain.Parts {
		active := false
		for w := range x.byAddress[p.Address] {
			active = active || w.silence() < engineActiveWindow
		}
		if !active {
			out = append(out, p.Address)
		}
	}
	return out
}

// HandleEngineDown reroutes or aborts the silent attempts whose chains pass through an
// engine that was found to be down.
func (g *Gateway) HandleEngineDown(address string) {
	for _, w := range g.attemptIndex.passingThrough(address) {
		if w.silence() > minStallSilence {
			go w.handleEngineLoss(address)
		}
	}
}
