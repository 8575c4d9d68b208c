package saddlegateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// minActiveWindow and activeWindowFactor, a multiple of the usual pause between events,
	// determine how long an engine counts as active after an event of any stream that
	// passes through it.
	minActiveWindow    = 60 * time.Millisecond
	activeWindowFactor = 1.8
	// minStallSilence and stallSilenceFactor, a multiple of the usual pause between events,
	// determine the time without an event after which a stream is rerouted or aborted if an
	// engine of its chain is found to be down or stalled. Events that had passed the engine
	// before arrive within that time.
	minStallSilence    = 70 * time.Millisecond
	stallSilenceFactor = 1.0
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
// event within a time.
func (x *attemptIndex) silentEngines(chain saddlefleet.Chain, within time.Duration) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []string
	for _, p := range chain.Parts {
		active := false
		for w := range x.byAddress[p.Address] {
			active = active || w.silence() < within
		}
		if !active {
			out = append(out, p.Address)
		}
	}
	return out
}

// activeFor returns the time until an engine of a chain counts as silent, because no stream has
// received an event through it within a time, or 0 if one does already.
func (x *attemptIndex) activeFor(chain saddlefleet.Chain, within time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	left := within
	for _, p := range chain.Parts {
		silence := within
		for w := range x.byAddress[p.Address] {
			if w.hasEvent.Load() {
				silence = min(silence, w.silence())
			}
		}
		left = min(left, within-silence)
	}
	return max(0, left)
}

// activeSince reports whether a stream that passes through an engine has received an event
// since a time.
func (x *attemptIndex) activeSince(since time.Time, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	for w := range x.byAddress[address] {
		if w.hasEvent.Load() && w.lastEventTime().After(since) {
			return true
		}
	}
	return false
}

// stallSilence returns the time without an event after which a stream is rerouted or
// aborted if an engine of its chain is down or stalled.
func (g *Gateway) stallSilence() time.Duration {
	return g.usualPause.atLeast(minStallSilence, stallSilenceFactor)
}

// RecordProbe passes the result of a probe that was sent at began to the fleet. Events that
// have passed through the engine since then outrank a probe that got no answer in time.
func (g *Gateway) RecordProbe(now, began time.Time, probed saddlefleet.Target, report fireflysaddle.EngineReport, err error) {
	if errors.Is(err, context.DeadlineExceeded) && g.attemptIndex.activeSince(began, probed.Address) {
		g.cfg.Fleet.RecordProgress(now, probed)
		return
	}
	g.cfg.Fleet.RecordProbe(now, probed, report, err)
}

// HandleEngineDown reroutes or retries the silent attempts whose chains pass through an
// engine that was found to be down. ended tells whether the engine has certainly ended.
func (g *Gateway) HandleEngineDown(address string, ended bool) {
	if ended {
		g.recordEnded(time.Now(), address)
	}
	for _, w := range g.attemptIndex.passingThrough(address) {
		if w.silence() > g.stallSilence() {
			go w.handleEngineLoss(address, w.lossOf(address))
		}
	}
}
