package saddlegateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// firstLook is after how long without an event the head of a chain is asked: a
	// first event usually comes within a tenth of a second.
	firstLook = 170 * time.Millisecond
	// gapLook is the same between events, which usually come each thirtieth of a
	// second. A caller's answer is late after a pause of a quarter of a second.
	gapLook = 90 * time.Millisecond
	// lookAgain is the time between further looks; reports are a fifth of a second
	// old.
	lookAgain = 130 * time.Millisecond
	// hardSilence is after how long an attempt ends whatever the head says, unless
	// all drafts of its data centre go slowly: then another attempt would only add to
	// the work. A caller leaves after two seconds without an event.
	hardSilence = 1400 * time.Millisecond
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
	stopped bool        // guarded by mend: the chain's room is given back
	waits   bool        // guarded by mend: for an engine that takes over lost layers
}

// watch begins to watch an attempt.
func (j *job) watch(ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain) *watchdog {
	w := &watchdog{job: j, ctx: ctx, cancel: cancel, begun: time.Now()}
	w.more = j.route.Retryable() && j.runs+1 < j.route.MaxAttempts && j.sends < maxSends
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
	w.stopped = true
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
	if lost := w.job.cfg.Fleet.FirstExcluded(chain.Addresses()); lost != "" || w.refused.Load() {
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
		w.job.cfg.Fleet.RequestProbe(time.Now(), address)
	}
	report, err := w.job.inspect(w.ctx, chain.Head.Address)
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.job.cfg.Fleet.MarkDown(time.Now(), chain.Head.Address, "does not report: "+err.Error())
		w.end(chain.Head.Address, errHeadSilent)
		return
	}
	for _, s := range report.Stalled {
		if w.silent() > stalledWith && w.chain.Load().Includes(s.Address) {
			w.job.cfg.Fleet.MarkDown(time.Now(), s.Address, "chains through it stall")
			w.lose(s.Address)
			return
		}
	}
	w.job.event(zerolog.DebugLevel).Str("head", chain.Head.Address).Int64("silent_ms", w.silent().Milliseconds()).
		Int("queued", report.Queued).Int("running", report.Running).Msg("no event, but the chain goes on")
	w.timer.Reset(lookAgain)
}
