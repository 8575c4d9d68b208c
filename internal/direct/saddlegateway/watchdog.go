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
	// firstEventCheck is the time without a first event after which a report is
	// requested from the head of the chain. A first event usually arrives within 100 ms.
	firstEventCheck = 170 * time.Millisecond
	// minEventGapCheck is the shortest time since the last event after which the report is
	// requested. An answer is late after a pause of 200 to 300 ms.
	minEventGapCheck = 90 * time.Millisecond
	// eventGapFactor is that time as a multiple of the usual pause between events. Hardly
	// any stream has a longer pause while all engines work.
	eventGapFactor = 2.5
	// recheckInterval is the time between further checks. Reports are up to 200 ms old.
	recheckInterval = 130 * time.Millisecond
	// maxSilence is the time without an event after which an attempt is aborted
	// regardless of the head's report. Callers disconnect after two seconds without an
	// event. The attempt is not aborted while the mean pause between events is long in
	// one of the data centres that its chain uses, because another attempt would only
	// add load.
	maxSilence = 1400 * time.Millisecond
)

var (
	errSilent     = errors.New("no event within the silence limit")
	errHeadSilent = errors.New("the head of the chain did not answer the report request")
)

// watchdog monitors one attempt. It reroutes or aborts the attempt if its chain makes
// no progress.
type watchdog struct {
	job           *job
	ctx           context.Context
	cancel        context.CancelCauseFunc
	chain         atomic.Pointer[saddlefleet.Chain]
	lastEvent     atomic.Int64 // nanoseconds from startTime to the last event
	hasEvent      atomic.Bool  // an event has arrived
	startTime     time.Time
	timer         *time.Timer
	checkDue      atomic.Int64           // nanoseconds from startTime to the next check
	faultyAddress atomic.Pointer[string] // address of the engine that caused the abort; nil: none
	chainMu       sync.Mutex             // held while the chain is rerouted
	mayRetry      bool                   // another attempt may follow this one

	rerouteRefused atomic.Bool // the head has not accepted the current chain
	stopped        bool        // guarded by chainMu: the attempt has ended and the capacity of its chain is released
	waiting        bool        // guarded by chainMu: waiting for an engine that takes over lost layers
}

// startWatchdog starts to monitor an attempt.
func (j *job) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain) *watchdog {
	w := &watchdog{job: j, ctx: ctx, cancel: cancel, startTime: time.Now()}
	w.mayRetry = j.route.Retryable() && j.runs+1 < j.route.MaxAttempts && j.sends < maxSends
	w.chain.Store(&chain)
	w.checkDue.Store(int64(firstEventCheck))
	w.timer = time.AfterFunc(firstEventCheck, w.check)
	j.attemptIndex.add(w, chain)
	return w
}

// recordEvent records the arrival of an event and restarts the timer.
func (w *watchdog) recordEvent() {
	elapsed := int64(time.Since(w.startTime))
	pause := time.Duration(elapsed - w.lastEvent.Swap(elapsed))
	if w.hasEvent.Swap(true) { // the time until the first event is not a pause between events
		w.job.usualPause.record(pause)
	}
	w.job.slowCentres.recordPause(time.Now(), w.chain.Load().Centres, pause, w.job.usualPause.atLeast(minSlowMeanPause, slowMeanFactor))
	w.scheduleCheck(w.job.usualPause.atLeast(minEventGapCheck, eventGapFactor))
}

// scheduleCheck has check run after the duration d, unless an event arrives first.
func (w *watchdog) scheduleCheck(d time.Duration) {
	w.checkDue.Store(int64(time.Since(w.startTime) + d))
	w.timer.Reset(d)
}

// checkDelay returns how late the present check is. A long delay shows that this process was
// held up, so that events and reports may wait unread.
func (w *watchdog) checkDelay() time.Duration {
	return time.Since(w.startTime) - time.Duration(w.checkDue.Load())
}

// stop ends the monitoring and returns the current chain.
func (w *watchdog) stop() saddlefleet.Chain {
	w.timer.Stop()
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	w.stopped = true
	chain := *w.chain.Load()
	w.job.attemptIndex.remove(w, chain)
	return chain
}

// silence returns the time since the last event.
func (w *watchdog) silence() time.Duration {
	return time.Since(w.startTime) - time.Duration(w.lastEvent.Load())
}

// abort ends the attempt because of a faulty engine. delay is how late the check was that
// found the engine faulty.
func (w *watchdog) abort(address string, delay time.Duration, cause error) {
	w.job.logEvent(zerolog.InfoLevel).Err(cause).Str("engine", address).Int64("silent_ms", w.silence().Milliseconds()).
		Int64("check_late_ms", delay.Milliseconds()).Bool("attempts_left", w.mayRetry).Msg("attempt aborted")
	w.faultyAddress.Store(&address)
	w.cancel(cause)
}

// check runs when the timer has expired without an event. It reroutes the chain if one of
// its engines is excluded or the head has refused the current chain. It aborts the attempt
// after maxSilence. Otherwise it has the fleet probe those engines of the chain whose
// streams have all received no event recently. It also requests a report from the head to
// find out why there is no event. If the head does not report, it aborts the attempt. If a
// stream is stalled at an engine of the chain, it reroutes the chain.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	delay := w.checkDelay()
	chain := w.chain.Load()
	if lost := w.job.cfg.Fleet.FirstExcluded(chain.Addresses()); lost != "" || w.rerouteRefused.Load() {
		w.handleEngineLoss(lost)
		return
	}
	if w.silence() > maxSilence && !w.job.slowCentres.anySlow(time.Now(), chain.Centres) {
		w.abort(chain.Head.Address, delay, errSilent)
		return
	}
	if len(chain.Parts) == 0 {
		w.scheduleCheck(recheckInterval)
		return
	}
	for _, address := range w.job.attemptIndex.silentEngines(*chain, w.job.usualPause.atLeast(minActiveWindow, activeWindowFactor)) {
		w.job.cfg.Fleet.RequestProbe(time.Now(), address)
	}
	shared := w.job.engineReport(w.ctx, time.Now(), chain.Head.Address)
	report, err := shared.report, shared.err
	if report.Leaving {
		w.job.cfg.Fleet.RecordLeaving(chain.Head, "")
	}
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.job.cfg.Fleet.MarkDown(time.Now(), chain.Head.Address, "report request failed: "+err.Error())
		w.abort(chain.Head.Address, delay, errHeadSilent)
		return
	}
	for _, s := range report.Stalled {
		if w.silence() > w.job.stallSilence() && w.chain.Load().Includes(s.Address) {
			w.job.cfg.Fleet.MarkDown(time.Now(), s.Address, "a chain is stalled at the engine")
			w.handleEngineLoss(s.Address)
			return
		}
	}
	w.job.logEvent(zerolog.DebugLevel).Str("head", chain.Head.Address).Int64("silent_ms", w.silence().Milliseconds()).
		Int("queued", report.Queued).Int("running", report.Running).Msg("no event received, but the chain is not stalled")
	w.scheduleCheck(recheckInterval)
}
