package saddlegateway

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// job is the state of one call while it is served.
type job struct {
	*Gateway
	call          *Call
	responder     Responder
	state         State
	route         *saddlerouting.Route
	pool          *saddlerouting.Pool
	workspace     fireflysaddle.Workspace
	priority      int
	ranked        bool      // priority is the rank among the streams to the pool, see saddlerouting.Routing.Rank
	admissionTime time.Time // time of admission by the clock passed to Serve
	startTime     time.Time
	deadline      time.Time

	stopEnding      func() bool // see claimAnswer
	giveUp          func()      // ends the call with a refusal unless its answer has begun
	holdTimer       *time.Timer // calls giveUp; nil: not started
	answerClaimed   atomic.Bool // claimAnswer has returned true
	progress        callProgress
	retryPrepaid    atomic.Bool                 // the next retry has already been deducted from the budget
	next            atomic.Pointer[nextAttempt] // nil: none is reserved
	sends           int                         // sends so far
	runs            int                         // sends that may have run on a target
	headerSent      bool                        // Responder.Begin was called
	held            bool                        // the answer begins once it is whole, see refusedByShutdown
	eventsSent      int                         // events sent to the caller
	attemptAddress  string                      // address that the most recent attempt was sent to
	attemptLifetime string                      // start of the target at that address
	attemptSentAt   time.Time                   // time at which the most recent attempt was sent
	forecast        firstForecast               // of the first attempt at a stream
	attemptEvents   int                         // events of the most recent attempt at a stream
	endReading      func()                      // called at the first event of the most recent attempt at a stream
	sequence        eventSequence
	lastEventID     string        // identifier of the last event that the caller received
	firstByteAt     time.Time     // time of the first event or byte
	lastEventAt     time.Time     // time of the last event sent to the caller
	longestPause    time.Duration // longest pause between events
	triedTargets    []fireflysaddle.TargetID
	sentAddresses   []string             // addresses that the call was sent to
	avoidUntil      map[string]time.Time // engine addresses to avoid, and until when
	failedHeads     []string             // addresses of engines that failed this stream as heads
	chainAddresses  []string             // engine addresses of the most recent chain; empty for plain services
	framing         string               // framing of the most recent answer that ran; empty: none
	partialBytes    int                  // bytes of that answer after its last complete event

	cachedFingerprint string // see fingerprint; empty: not computed yet
}

// avoidEngine excludes an engine from further chains of this call for the duration d.
func (j *job) avoidEngine(now time.Time, address string, d time.Duration) {
	if j.avoidUntil == nil {
		j.avoidUntil = map[string]time.Time{}
	}
	j.avoidUntil[address] = now.Add(d)
}

// avoidedAddresses returns the addresses that are excluded at present.
func (j *job) avoidedAddresses(now time.Time) []string { return unexpired(now, j.avoidUntil) }

// unexpired returns the addresses whose time has not come.
func unexpired(now time.Time, until map[string]time.Time) []string {
	var out []string
	for address, t := range until {
		if now.Before(t) {
			out = append(out, address)
		}
	}
	return out
}

// newForward returns a Forward to a target. If the call was sent to the target's address
// before, it is sent on another connection: the earlier answer may arrive once more, and has the
// same identifier as the one that is awaited.
func (j *job) newForward(now time.Time, target saddlefleet.Target) fireflysaddle.Forward {
	sentBefore := slices.Contains(j.sentAddresses, target.Address)
	if !sentBefore {
		j.sentAddresses = append(j.sentAddresses, target.Address)
	}
	return fireflysaddle.Forward{
		Target:    target.ID,
		Address:   target.Address,
		NewConn:   sentBefore,
		IdleConns: j.pool.IdleConns(j.cfg.Fleet.EntryCount()),
		Request:   j.call.ID,
		Method:    j.call.Method,
		Host:      j.call.Host,
		URI:       j.call.URI,
		Header:    j.call.Header,
		Body:      j.call.Body,
		Workspace: j.workspace,
		Budget:    j.deadline.Sub(now),
		Urgency:   j.priority,
	}
}

// reserveSend reports whether the call may be sent once more, and deducts a retry from
// the budget unless this is the first send or the retry was prepaid. If the call may not
// be sent, it logs the reason.
func (j *job) reserveSend(ctx context.Context) bool {
	switch {
	case j.sends == 0 || j.retryPrepaid.Swap(false):
	case j.sends >= maxSends:
		j.logEvent(zerolog.InfoLevel).Int("sends", j.sends).Msg("request not retried: send limit reached")
		return false
	case !j.takeRetry(ctx, j.pool.Group):
		countBudgetExhausted.Add(1)
		j.logEvent(zerolog.WarnLevel).Int("sends", j.sends).Msg("request not retried: retry budget exhausted")
		return false
	}
	j.sends++
	j.progress.recordSend(time.Since(j.startTime))
	return true
}

// prepayRetry deducts a retry from the budget before the current attempt is aborted, unless
// one was deducted before. It reports whether the budget allowed it.
func (j *job) prepayRetry(ctx context.Context) bool {
	if j.retryPrepaid.Load() {
		return true
	}
	granted := j.takeRetry(ctx, j.pool.Group)
	if granted {
		j.retryPrepaid.Store(true)
	}
	return granted
}

// logEvent starts a log line with the fields common to all lines about the call.
func (j *job) logEvent(level zerolog.Level) *zerolog.Event {
	e := j.cfg.Log.WithLevel(level).Str("request", string(j.call.ID))
	if j.route != nil {
		e = e.Str("route", j.route.Name)
	}
	return e.Int64("after_ms", time.Since(j.startTime).Milliseconds())
}

// traitNames returns traits as they are logged.
func traitNames(traits []fireflysaddle.Trait) []string {
	out := make([]string, len(traits))
	for i, t := range traits {
		out[i] = string(t)
	}
	return out
}

// logFraming adds how the most recent answer was framed, and what followed its last
// complete event.
func (j *job) logFraming(e *zerolog.Event) *zerolog.Event {
	if j.framing == "" {
		return e
	}
	return e.Str("framing", j.framing).Int("partial_bytes", j.partialBytes)
}

// refuse answers with a refusal, or aborts an answer that has begun.
func (j *job) refuse(r Refusal) {
	if j.headerSent {
		countAborted.Add(1)
		j.recordEnd("broken_off", r.Code, r.Message)
		j.responder.Abort()
		return
	}
	countRefused.Add(1)
	j.recordEnd("refused", r.Code, r.Message)
	j.responder.Refuse(r)
}

// failCall ends a call that no target answered completely. The outcome depends on whether
// a target may have run the call.
func (j *job) failCall(ctx context.Context, code fireflysaddle.Code, message string, retryAfter time.Duration) {
	switch {
	case isProcessEnding(ctx):
		j.refuseLeaving(time.Now())
	case errors.Is(ctx.Err(), context.Canceled):
		j.endDisconnected()
	case j.runs == 0:
		j.refuse(Refusal{Code: code, Outcome: OutcomeNotRun, Message: message, RetryAfter: retryAfter})
	case ctx.Err() != nil:
		j.refuse(Refusal{Code: fireflysaddle.CodeDeadline, Outcome: OutcomeTimedOut, Message: message})
	default:
		j.refuse(Refusal{Code: code, Outcome: OutcomeUnknown, Message: message})
	}
}

// endDisconnected ends a call whose caller has disconnected.
func (j *job) endDisconnected() {
	countDisconnected.Add(1)
	j.recordEnd("caller_gone", "", "")
	j.responder.Abort()
}

// recordEnd records the latency and logs how the call ended, with the inputs of its
// routing decision.
func (j *job) recordEnd(outcome string, code fireflysaddle.Code, message string) {
	total := time.Since(j.startTime)
	j.recordDuration(time.Now(), outcome == "answered")
	observeLatency(j.route, total, j.firstByteAt.Sub(j.startTime), !j.firstByteAt.IsZero(), j.promptSize())
	e := j.logEvent(zerolog.InfoLevel).Str("outcome", outcome).
		Uint64("routing", j.state.Routing.GetVersion()).
		Int64("confirmed_ms_ago", j.admissionTime.Sub(j.state.Confirmed).Milliseconds()).
		Int("sends", j.sends).Int("runs", j.runs)
	if j.pool != nil {
		e = e.Str("group", string(j.pool.Group))
	}
	if !j.firstByteAt.IsZero() {
		e = e.Int64("first_ms", j.firstByteAt.Sub(j.startTime).Milliseconds()).Int("events", j.eventsSent).
			Int64("longest_pause_ms", j.longestPause.Milliseconds())
	}
	if len(j.chainAddresses) > 0 {
		e = e.Strs("chain", j.chainAddresses).Int("prompt_tokens", j.call.PromptTokens).Int("output_estimate", j.call.estimatedTokens()-j.call.PromptTokens).
			Int64("sent_ms", j.attemptSentAt.Sub(j.startTime).Milliseconds())
	}
	if len(j.triedTargets) > 0 {
		e = e.Str("target", string(j.triedTargets[len(j.triedTargets)-1]))
	}
	e = j.logFraming(e)
	if code != "" {
		e = e.Str("code", string(code)).Str("reason", message)
	}
	e.Msg("request ended")
}
