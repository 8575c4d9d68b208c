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
	// second. A caller's answer is late after a pause of a quarter of a second.
	gapLook = 90 * time.Millisecond
	// alive is for how long an engine counts as working after an event of any
	// stream that passes through it: two usual pauses.
	alive = 60 * time.Millisecond
	// rerouteTimeout bounds the order to go on along another chain.
	rerouteTimeout = 100 * time.Millisecond
	// maxReroutes bounds the chains that are tried: two engines may be lost at once,
	// and one be full.
	maxReroutes = 3
	// rerouteAgain is the time between tries to reroute a stream that may not be sent
	// again: a spare engine takes over the layers of a lost one within a second or two.
	rerouteAgain = 100 * time.Millisecond
	// rerouteFor bounds that wait: engines break off what depends on a lost one after
	// two seconds, and callers leave.
	rerouteFor = 2 * time.Second
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
	stalledWith = 70 * time.Millisecond
)

var (
	errSilent     = errors.New("no event for too long")
	errHeadSilent = errors.New("the head of the chain does not answer")
)

// watchdog has an attempt whose chain does not go on rerouted, or ends it.
type watchdog struct {
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	chain  atomic.Pointer[saddlefleet.Chain]
	last   atomic.Int64 // nanoseconds since begun: of the last event
	begun  time.Time
	timer  *time.Timer
	fault  atomic.Pointer[string] // address of the engine for which the attempt ended
	mend   sync.Mutex             // held while the chain is changed
	more   bool                   // further attempts are allowed after this one

	refused atomic.Bool // the head has not taken up the chain yet
}

// watch begins to watch an attempt.
func (j *job) watch(ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain) *watchdog {
	w := &watchdog{job: j, ctx: ctx, cancel: cancel, begun: time.Now()}
	w.more = j.route.Repeatable() && j.runs+1 < j.route.MaxAttempts && j.sends < maxSends
	w.chain.Store(&chain)
	w.timer = time.AfterFunc(firstLook, w.look)
	j.watched.add(w, chain)
	return w
}

// saw notes an event.
func (w *watchdog) saw() {
	at := int64(time.Since(w.begun))
	w.job.slow.note(time.Now(), w.chain.Load().Centres, time.Duration(at-w.last.Swap(at)))
	w.timer.Reset(gapLook)
}

// stop ends the watch and returns the chain in use.
func (w *watchdog) stop() saddlefleet.Chain {
	w.timer.Stop()
	w.mend.Lock()
	defer w.mend.Unlock()
	chain := *w.chain.Load()
	w.job.watched.remove(w, chain)
	return chain
}

// silent returns for how long there was no event.
func (w *watchdog) silent() time.Duration { return time.Since(w.begun) - time.Duration(w.last.Load()) }

// end ends the attempt for an engine that does not work.
func (w *watchdog) end(address string, cause error) {
	w.fault.Store(&address)
	w.cancel(cause)
}

// look asks the head why there is no event, and has the engines asked of which
// nothing else is seen. It mends the chain if it waits for an engine that does not go
// on.
func (w *watchdog) look() {
	if w.ctx.Err() != nil {
		return
	}
	chain := w.chain.Load()
	if lost := w.job.cfg.Fleet.PassedOver(chain.Addresses()); lost != "" || w.refused.Load() {
		w.lose(lost)
		return
	}
	if w.silent() > hardSilence && !w.job.slow.any(time.Now(), chain.Centres) {
		w.end(chain.Head.Address, errSilent)
		return
	}
	if len(chain.Parts) == 0 {
		w.timer.Reset(lookAgain)
		return
	}
	for _, address := range w.job.watched.quiet(*chain) {
		w.job.cfg.Fleet.Doubt(time.Now(), address)
	}
	report, err := w.job.inspect(w.ctx, chain.Head.Address)
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.job.cfg.Fleet.Down(time.Now(), chain.Head.Address, "does not report: "+err.Error())
		w.end(chain.Head.Address, errHeadSilent)
		return
	}
	for _, s := range report.Stalled {
		if w.silent() > stalledWith && w.chain.Load().Passes(s.Address) {
			w.job.cfg.Fleet.Down(time.Now(), s.Address, "chains through it stall")
			w.lose(s.Address)
			return
		}
	}
	w.job.event(zerolog.DebugLevel).Str("head", chain.Head.Address).Int64("silent_ms", w.silent().Milliseconds()).
		Int("queued", report.Queued).Int("running", report.Running).Msg("no event, but the chain goes on")
	w.timer.Reset(lookAgain)
}

// lose has the attempt go on without an engine of its chain, or ends it. One that no
// other may follow waits for an engine that takes over the layers, until its head
// breaks off or its caller leaves.
func (w *watchdog) lose(address string) {
	w.mend.Lock()
	defer w.mend.Unlock()
	if w.ctx.Err() != nil || (!w.refused.Load() && !w.chain.Load().Passes(address)) {
		return
	}
	silent := w.silent()
	err := w.reroute(address)
	if err == nil {
		countRerouted.Add(1)
		w.job.event(zerolog.InfoLevel).Str("engine", address).Int64("silent_ms", silent.Milliseconds()).
			Strs("chain", w.chain.Load().Addresses()).Msg("chain rerouted")
		w.timer.Reset(firstLook)
		return
	}
	hopeless := unknown(err) || address == w.chain.Load().Head.Address || silent > rerouteFor
	if !hopeless && !w.mayFollow() {
		w.timer.Reset(rerouteAgain)
		return
	}
	w.job.event(zerolog.InfoLevel).Err(err).Str("engine", address).Int64("silent_ms", silent.Milliseconds()).
		Msg("chain not rerouted")
	w.end(address, fmt.Errorf("the chain waits for the engine at %s", address))
}

// mayFollow reports whether another attempt may follow this one, and takes it from
// the retry budget.
func (w *watchdog) mayFollow() bool { return w.more && w.job.prepay(w.ctx) }

// unknown reports whether the head does not have the request.
func unknown(err error) bool {
	var refused *fireflysaddle.OrderError
	return errors.As(err, &refused) && refused.Status == fireflysaddle.OrderNotFound
}

var errNoRoute = errors.New("no other engines have room for its layers")

// reroute has other engines run the layers of a lost one, and of those that refuse
// their part of the new chain. The attempt goes on where it was.
func (w *watchdog) reroute(lost string) error {
	for range maxReroutes {
		if w.chain.Load().Passes(lost) {
			chain, ok := w.job.cfg.Fleet.Repair(time.Now(), w.job.pool, *w.chain.Load(), lost)
			if !ok {
				return errNoRoute
			}
			w.job.watched.remove(w, *w.chain.Load())
			w.job.watched.add(w, chain)
			w.chain.Store(&chain)
		}
		err := w.order(*w.chain.Load())
		w.refused.Store(err != nil)
		var refused *fireflysaddle.OrderError
		if !errors.As(err, &refused) || !w.chain.Load().Passes(refused.AtFault) {
			return err
		}
		w.job.cfg.Fleet.Refused(time.Now(), refused.AtFault)
		lost = refused.AtFault
	}
	return errNoRoute
}

func (w *watchdog) order(chain saddlefleet.Chain) error {
	ctx, cancel := context.WithTimeout(w.ctx, rerouteTimeout)
	defer cancel()
	return w.job.cfg.Forwarder.Reroute(ctx, chain.Head.Address, w.job.call.ID, chain.Parts)
}

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
