package saddlegateway

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
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
	// recheckInterval is the time between further checks of a stream of a plain service, and of
	// one whose head's report request failed.
	recheckInterval = 130 * time.Millisecond
	// retryPatience is the share of the callers' patience after which another attempt
	// continues a silent stream. The rest is left for that attempt to begin, which takes up
	// to the objective for the first event: a quarter of the patience or less.
	retryPatience = 0.75
)

// idleTimer is the duration of a timer that has not been scheduled.
const idleTimer = time.Duration(math.MaxInt64)

var errSilent = errors.New("no event for so long that another attempt continues the stream")

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
	asked         atomic.Int32           // times that the head was asked for a report since the last event
	faultyAddress atomic.Pointer[string] // address of the engine that caused the abort; nil: none
	chainMu       sync.Mutex             // held while the chain is rerouted
	mayRetry      bool                   // another attempt may follow this one
	parent        context.Context        // of the call
	forward       fireflysaddle.Forward  // of this attempt
	deliveredID   atomic.Pointer[string] // identifier of the last event that the caller received in this attempt; nil: none
	waitedBefore  time.Duration          // time that the caller had waited for an event when the attempt began
	sendsLeft     int
	answerBegun   bool // an earlier attempt has begun the answer to the caller

	rerouteRefused atomic.Bool // the head has not accepted the current chain
	stopped        bool        // guarded by chainMu: the attempt has ended and the capacity of its chain is released
	waiting        bool        // guarded by chainMu: waiting for an engine that takes over lost layers
	endSeen        bool        // guarded by chainMu: the head was found to have ended
	endEvent       int64       // guarded by chainMu: lastEvent at that time

	exclusions  exclusions // guarded by chainMu: of the attempt after this one
	hedge       *hedge     // guarded by chainMu: attempt that is to replace this one; nil: none
	sends, runs int        // guarded by chainMu: hedges sent, and those that may have run
}

// startWatchdog starts to monitor an attempt at a call with the context parent. ctx is the
// context of the attempt, which cancel ends.
func (j *job) startWatchdog(parent, ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain, f fireflysaddle.Forward) *watchdog {
	w := &watchdog{job: j, parent: parent, ctx: ctx, cancel: cancel, forward: f, startTime: time.Now(), waitedBefore: j.sinceLastEvent(), sendsLeft: maxSends - j.sends, answerBegun: j.headerSent}
	w.mayRetry = j.route.Retryable() && j.runs+1 < j.route.MaxAttempts && w.sendsLeft > 0
	w.exclusions = exclusions{targets: slices.Clone(j.triedTargets), engines: maps.Clone(j.avoidUntil), heads: slices.Clone(j.failedHeads)}
	w.chain.Store(&chain)
	w.timer = time.AfterFunc(idleTimer, w.check)
	w.scheduleCheck(firstEventCheck) // check reads w.timer
	j.attemptIndex.add(w, chain)
	return w
}

// recordEvent records the arrival of an event, or of the end after one, and restarts the timer.
func (w *watchdog) recordEvent() {
	elapsed := int64(time.Since(w.startTime))
	pause := time.Duration(elapsed - w.lastEvent.Swap(elapsed))
	w.asked.Store(0)
	if w.hasEvent.Swap(true) { // the time until the first event is not a pause between events
		w.job.usualPause.record(pause)
	}
	w.job.slowCentres.recordPause(time.Now(), w.chain.Load().Centres, pause, w.job.usualPause.atLeast(minSlowMeanPause, slowMeanFactor))
	w.scheduleCheck(w.job.usualPause.atLeast(minEventGapCheck, eventGapFactor))
}

// recordDelivery records the identifier of the last event that the caller has received.
func (w *watchdog) recordDelivery(id string) { w.deliveredID.Store(&id) }

// lastEventTime returns the time of the last event, or the start of the attempt.
func (w *watchdog) lastEventTime() time.Time {
	return w.startTime.Add(time.Duration(w.lastEvent.Load()))
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

// stop ends the monitoring and returns the current chain. A hedge in progress is ended if
// the call has ended; otherwise stop waits for its outcome.
func (w *watchdog) stop(ended bool) saddlefleet.Chain {
	w.timer.Stop()
	w.chainMu.Lock()
	chain, first, c := *w.chain.Load(), !w.stopped, w.hedge
	w.stopped = true
	w.chainMu.Unlock()
	if !first {
		return chain
	}
	w.job.attemptIndex.remove(w, chain)
	if c != nil {
		if ended {
			c.next.accepted.cancel(nil)
		}
		<-c.done
	}
	w.chainMu.Lock()
	defer w.chainMu.Unlock()
	w.job.runs += w.runs
	w.job.sends += w.sends
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

// check runs when the timer has expired without an event. It reroutes or replaces the attempt
// if an engine of its chain is excluded or the head has refused the current chain. If that is
// not possible, the head is asked whether it waits for the engine, which confirms the loss.
//
// A target's silence is no evidence that its answer will not come. An attempt is therefore
// aborted only for a loss that is certain or confirmed, or once another attempt is accepted.
func (w *watchdog) check() {
	if w.ctx.Err() != nil {
		return
	}
	now, chain := time.Now(), w.chain.Load()
	lost := w.job.cfg.Fleet.FirstExcluded(chain.Addresses())
	if lost == "" && !w.rerouteRefused.Load() {
		w.checkSilent(now, w.checkDelay(), chain)
		return
	}
	if w.handleEngineLoss(lost, w.lossOf(lost)) || lost == "" || lost == chain.Head.Address {
		return
	}
	if report := w.headReport(now, chain); report.err == nil {
		w.handleStalled(report)
	}
}

// checkSilent finds out why there is no event although no engine of the chain is excluded. If
// the silence has lasted for retrySilence, another attempt continues the stream if it is
// accepted. Unless events of other streams show that the engines of the chain work, the head
// is asked for a report, and the fleet probes those engines whose streams have all received no
// event recently. If the head does not report and no stream that passes through it has had an
// event since, it counts as down.
func (w *watchdog) checkSilent(now time.Time, delay time.Duration, chain *saddlefleet.Chain) {
	if w.callerWait() > w.retrySilence() && !w.job.slowCentres.anySlow(now, chain.Centres) {
		w.chainMu.Lock()
		if !w.stopped && w.ctx.Err() == nil {
			w.startHedge(now, delay, chain.Head.Address, errSilent)
		}
		w.chainMu.Unlock()
	}
	if len(chain.Parts) == 0 {
		w.scheduleCheck(recheckInterval)
		return
	}
	check := w.evidence(now, chain).Check()
	if !check.AskHead {
		countReportsSpared.Add(1)
		w.scheduleCheck(check.NextCheckDue)
		return
	}
	w.asked.Add(1)
	if check.ProbeSilent {
		w.probeSilent(now, chain)
	}
	report := w.headReport(now, chain)
	if w.ctx.Err() != nil {
		return
	}
	certain := errors.Is(report.err, syscall.ECONNREFUSED)
	if report.err != nil && !certain && !errors.Is(report.err, context.DeadlineExceeded) { // a busy engine resets connections
		w.job.cfg.Fleet.RequestProbe(time.Now(), chain.Head.Address)
		w.scheduleCheck(recheckInterval)
		return
	}
	if report.err != nil && !w.job.attemptIndex.activeSince(report.requestedAt, chain.Head.Address) {
		w.job.cfg.Fleet.MarkDown(time.Now(), chain.Head.Address, "report request failed: "+report.err.Error())
		loss := w.lossOf(chain.Head.Address)
		if certain {
			loss = lossCertain
		}
		w.handleEngineLoss(chain.Head.Address, loss)
		return
	}
	if w.handleStalled(report) {
		return
	}
	w.job.logEvent(zerolog.DebugLevel).Str("head", chain.Head.Address).Int64("silent_ms", w.silence().Milliseconds()).
		Int("queued", report.report.Queued).Int("running", report.report.Running).AnErr("report_error", report.err).
		Msg("no event received, but the chain is not stalled")
	w.scheduleCheck(check.NextCheckDue)
}

// evidence returns what is known about the chain of the silent stream.
func (w *watchdog) evidence(now time.Time, chain *saddlefleet.Chain) saddlefleet.Evidence {
	e := saddlefleet.Evidence{
		Silence:   w.silence(),
		Asked:     int(w.asked.Load()),
		ActiveFor: w.job.attemptIndex.activeFor(*chain, w.activeWindow()),
	}
	e.ReportAge, e.Reported = w.job.reportAge(now, chain.Head.Address)
	return e
}

// probeSilent has the fleet probe the silent engines of the chain. The report of the head is
// its probe.
func (w *watchdog) probeSilent(now time.Time, chain *saddlefleet.Chain) {
	for _, address := range w.job.attemptIndex.silentEngines(*chain, w.activeWindow()) {
		if address != chain.Head.Address {
			w.job.cfg.Fleet.RequestProbe(now, address)
		}
	}
}

// activeWindow returns how long an engine counts as active after an event.
func (w *watchdog) activeWindow() time.Duration {
	return w.job.usualPause.atLeast(minActiveWindow, activeWindowFactor)
}

// headReport asks the head of the chain for a report.
func (w *watchdog) headReport(now time.Time, chain *saddlefleet.Chain) *sharedReport {
	report := w.job.engineReport(w.ctx, now, chain.Head.Address)
	if report.report.Leaving {
		w.job.cfg.Fleet.RecordLeaving(chain.Head, "")
	}
	return report
}

// handleStalled handles the loss of an engine of the chain at which streams are stalled. It
// reports whether the report names one.
func (w *watchdog) handleStalled(report *sharedReport) bool {
	for _, s := range report.report.Stalled {
		if w.silence() > w.job.stallSilence() && w.chain.Load().Includes(s.Address) {
			w.job.cfg.Fleet.MarkDown(time.Now(), s.Address, "a chain is stalled at the engine")
			w.handleEngineLoss(s.Address, lossConfirmed)
			return true
		}
	}
	return false
}

// retrySilence returns the time without an event after which another attempt is to continue
// the stream.
func (w *watchdog) retrySilence() time.Duration {
	return time.Duration(retryPatience * float64(w.job.route.CallerPatience()))
}

// callerWait returns the time since the caller received an event.
func (w *watchdog) callerWait() time.Duration {
	if w.hasEvent.Load() {
		return w.silence()
	}
	return w.silence() + w.waitedBefore
}
