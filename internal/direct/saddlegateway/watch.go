package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// firstLook is after how long without an event the head of a chain is asked: a
	// first event usually comes within a tenth of a second.
	firstLook = 170 * time.Millisecond
	// gapLook is the same between events, which usually come each thirtieth of a
	// second.
	gapLook = 250 * time.Millisecond
	// lookAgain is the time between further looks; reports are a fifth of a second
	// old.
	lookAgain = 130 * time.Millisecond
	// hardSilence is after how long an attempt ends whatever the head says, unless
	// all drafts of its data centre go slowly: then another attempt would only add to
	// the work. A caller leaves after two seconds without an event.
	hardSilence = 1400 * time.Millisecond
	// reportTimeout bounds the question to a head.
	reportTimeout = 200 * time.Millisecond
	// reportFresh is how long an answer serves all streams of a head.
	reportFresh = 100 * time.Millisecond
	// stalledWith is for how long a stream must be silent to be ended when an
	// engine of its chain is found to be down.
	stalledWith = 120 * time.Millisecond
)

var (
	errSilent     = errors.New("no event for too long")
	errHeadSilent = errors.New("the head of the chain does not answer")
)

// watchdog ends an attempt whose chain does not go on.
type watchdog struct {
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	chain  saddlefleet.Chain
	last   atomic.Int64 // nanoseconds since begun: of the last event
	begun  time.Time
	timer  *time.Timer
	fault  atomic.Pointer[string] // address of the engine for which the attempt ended
}

// watch begins to watch an attempt.
func (j *job) watch(ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain) *watchdog {
	w := &watchdog{job: j, ctx: ctx, cancel: cancel, chain: chain, begun: time.Now()}
	w.timer = time.AfterFunc(firstLook, w.look)
	j.watched.add(w)
	return w
}

// saw notes an event.
func (w *watchdog) saw() {
	at := int64(time.Since(w.begun))
	w.job.slow.note(time.Now(), w.chain.Centres, time.Duration(at-w.last.Swap(at)))
	w.timer.Reset(gapLook)
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.job.watched.remove(w)
}

// silent returns for how long there was no event.
func (w *watchdog) silent() time.Duration { return time.Since(w.begun) - time.Duration(w.last.Load()) }

// end ends the attempt for an engine that does not work.
func (w *watchdog) end(address string, cause error) {
	w.fault.Store(&address)
	w.cancel(cause)
}

// look asks the head why there is no event, and ends the attempt if it waits for
// an engine that does not go on.
func (w *watchdog) look() {
	if w.ctx.Err() != nil {
		return
	}
	if w.silent() > hardSilence && !w.job.slow.any(time.Now(), w.chain.Centres) {
		w.end(w.chain.Head.Address, errSilent)
		return
	}
	if len(w.chain.Parts) == 0 {
		w.timer.Reset(lookAgain)
		return
	}
	report, err := w.job.inspect(w.ctx, w.chain.Head.Address)
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.job.cfg.Fleet.Down(time.Now(), w.chain.Head.Address, "does not report: "+err.Error())
		w.end(w.chain.Head.Address, errHeadSilent)
		return
	}
	for _, s := range report.Stalled {
		through := slices.ContainsFunc(w.chain.Parts, func(p fireflysaddle.ChainPart) bool { return p.Address == s.Address })
		if !through {
			continue
		}
		w.job.cfg.Fleet.Down(time.Now(), s.Address, "chains through it stall")
		w.end(s.Address, fmt.Errorf("the chain waits for the engine at %s", s.Address))
		return
	}
	w.job.event(zerolog.DebugLevel).Str("head", w.chain.Head.Address).Int64("silent_ms", w.silent().Milliseconds()).
		Int("queued", report.Queued).Int("running", report.Running).Msg("no event, but the chain goes on")
	w.timer.Reset(lookAgain)
}

// watched holds the attempts in progress by the engines of their chains.
type watched struct {
	mu        sync.Mutex
	byAddress map[string]map[*watchdog]struct{}
}

func (s *watched) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil {
		s.byAddress = map[string]map[*watchdog]struct{}{}
	}
	for _, p := range w.chain.Parts {
		if s.byAddress[p.Address] == nil {
			s.byAddress[p.Address] = map[*watchdog]struct{}{}
		}
		s.byAddress[p.Address][w] = struct{}{}
	}
}

func (s *watched) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range w.chain.Parts {
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

// EngineDown ends the attempts that wait for an engine that is found to be down.
func (g *Gateway) EngineDown(address string) {
	for _, w := range g.watched.through(address) {
		if w.silent() > stalledWith {
			w.end(address, fmt.Errorf("the engine at %s is down", address))
		}
	}
}

// inspection is an answer of a head that serves all who ask within a short time.
type inspection struct {
	mu     sync.Mutex
	at     time.Time
	report fireflysaddle.EngineReport
	err    error
}

// inspect asks a head for its state, once for all streams that wait there.
func (g *Gateway) inspect(ctx context.Context, address string) (fireflysaddle.EngineReport, error) {
	g.mu.Lock()
	in, ok := g.reports[address]
	if !ok {
		in = &inspection{}
		g.reports[address] = in
	}
	g.mu.Unlock()
	in.mu.Lock()
	defer in.mu.Unlock()
	if time.Since(in.at) < reportFresh {
		return in.report, in.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	countInspections.Add(1)
	in.report, in.err = g.cfg.Forwarder.Report(ctx, address)
	in.at = time.Now()
	return in.report, in.err
}
