package saddlegateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// avoidFailedFor is how long a request avoids an engine that failed. avoidFullFor is
	// how long a request avoids an engine that refused the request.
	avoidFailedFor = 10 * time.Second
	avoidFullFor   = 200 * time.Millisecond
	// noCapacityRetryAfter is the retry delay when no chain has capacity; streams end
	// within seconds. noChainRetryAfter is the retry delay when the engines do not cover
	// all layers; a lost engine is replaced within seconds.
	noCapacityRetryAfter = time.Second
	noChainRetryAfter    = 2 * time.Second
)

// serveStream serves a call that is answered by a stream of events.
func (j *job) serveStream(ctx context.Context) {
	j.lastEventID = j.call.LastEventID
	j.sequence.start(j.lastEventID)
	j.cfg.Fleet.RecordDemand(time.Now(), j.pool.Group)
	if now := time.Now(); j.mayEndTooLate(now) && j.refusedByShutdown(now) { // maySend decides on the others
		j.refuseLeaving(now)
		return
	}
	defer j.releaseNextAttempt()
	for {
		next, refusal := j.pickChain(ctx)
		if refusal != nil {
			j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		if next.accepted == nil && !j.maySend(ctx) {
			next.release()
			return
		}
		ended, failure := j.tryStream(ctx, next)
		next.release()
		if ended {
			return
		}
		j.logFraming(j.logEvent(zerolog.InfoLevel)).Strs("chain", j.chainAddresses).Str("reason", failure).Int("runs", j.runs).
			Str("fingerprint", j.fingerprint()).Int("events", j.eventsSent).Int("attempt_events", j.attemptEvents).Strs("traits", traitNames(j.traits())).Str("last_event", j.lastEventID).Strs("avoid", j.avoidedAddresses(time.Now())).Msg("attempt failed")
		if j.next.Load() != nil { // it has begun already
			continue
		}
		if ctx.Err() != nil || (j.runs > 0 && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts)) {
			j.failCall(ctx, fireflysaddle.CodeTargetFailed, failure, noCapacityRetryAfter)
			return
		}
	}
}

// maySend reports whether the call, which may have waited for a chain, is to be sent. If it is
// not, it has been refused.
func (j *job) maySend(ctx context.Context) bool {
	if refusal := j.quarantineRefusal(time.Now()); refusal != nil {
		j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
		return false
	}
	if j.refusedByShutdown(time.Now()) {
		j.refuseLeaving(time.Now())
		return false
	}
	if !j.reserveSend(ctx) {
		j.failCall(ctx, fireflysaddle.CodeTargetFailed, "no retry is left", noCapacityRetryAfter)
		return false
	}
	return true
}

// pickChain selects a chain, or a single target for a plain service, unless one is reserved.
// It waits for a chain with capacity, see awaitChain and awaitAdmittedChain.
func (j *job) pickChain(ctx context.Context) (nextAttempt, *Refusal) {
	if next, ok := j.takeNextAttempt(); ok {
		return next, nil
	}
	if refusal := j.quarantineRefusal(time.Now()); refusal != nil {
		return nextAttempt{}, refusal
	}
	if j.pool.Model == nil {
		t, release, ok := j.pickTarget(time.Now())
		if !ok {
			return nextAttempt{}, &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "no target is available", RetryAfter: j.targetsRetryAfter(time.Now())}
		}
		return nextAttempt{chain: saddlefleet.Chain{Head: t}, release: release}, nil
	}
	await := j.awaitChain
	if j.ranked {
		await = j.awaitAdmittedChain
	}
	waitCtx, endWait := j.waitUntilShutdown(ctx)
	defer endWait()
	chain, release, refusal := await(waitCtx)
	return nextAttempt{chain: chain, release: release}, refusal
}

// tryStream sends the call to the head of one chain, unless that has been done, and relays the
// events. It reports whether the call has ended and, if it has not, why the attempt failed.
func (j *job) tryStream(parent context.Context, next nextAttempt) (ended bool, failure string) {
	now, chain := time.Now(), next.chain
	f := j.newForward(now, chain.Head)
	f.Chain = chain.Parts
	f.LastEventID = j.lastEventID
	j.chainAddresses, j.attemptAddress, j.attemptLifetime, j.attemptEvents = chain.Addresses(), chain.Head.Address, chain.Head.Lifetime(), 0
	j.attemptSentAt = now
	j.forecastFirst(now, chain)
	j.endReading = j.cfg.Fleet.BeginReading(chain, j.call.PromptTokens)
	defer func() { j.endReading() }()
	ctx, cancel := next.attemptContext(parent)
	defer cancel(nil)
	watch := j.startWatchdog(parent, ctx, cancel, chain, f)
	defer func() {
		cancel(nil) // ends a call for which the watchdog waits
		j.chainAddresses = watch.stop(ended).Addresses()
		if address := watch.faultyAddress.Load(); address != nil {
			j.avoidEngine(time.Now(), *address, avoidFailedFor)
		}
	}()
	reply, err := j.sendStream(ctx, next, f)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = &fireflysaddle.TargetError{Target: chain.Head.ID, Err: cause}
		}
		runs := j.runs
		failure = j.recordNoReply(chain.Head.Address, time.Since(now), err)
		if j.runs > runs && ctx.Err() == nil {
			j.failedHeads = append(j.failedHeads, j.attemptAddress)
			j.recordUnanswered()
		}
		return false, failure
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun {
		return false, j.recordRefusal(reply)
	}
	if next.accepted == nil { // otherwise it was counted when it was accepted
		j.runs++
	}
	j.framing, j.partialBytes = reply.Framing.String(), 0
	if reply.Status != http.StatusOK {
		return j.handleErrorStatus(reply)
	}
	if !isEventStream(reply.Header) {
		watch.stop(true) // the body is no sequence of events
		return j.relayBody(reply)
	}
	reply.Length = -1 // the events of a further attempt may have another length
	return j.relay(ctx, reply, watch)
}

// sendStream returns the answer of an attempt that was accepted, or sends the call.
func (j *job) sendStream(ctx context.Context, next nextAttempt, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	if next.accepted != nil {
		j.attemptSentAt = next.accepted.sentAt
		return next.accepted.reply, nil
	}
	reply, err := j.cfg.Forwarder.Forward(ctx, f)
	j.recordNotice(time.Now(), j.attemptSentAt, next.chain.Head, reply, err)
	return reply, err
}

// recordRefusal records that an engine of the chain refused the call without running it.
// The call avoids that engine for avoidFullFor. It returns the reason.
func (j *job) recordRefusal(reply *fireflysaddle.Reply) string {
	if reply.FaultyEngine != "" {
		j.avoidEngine(time.Now(), reply.FaultyEngine, avoidFullFor)
		j.cfg.Fleet.RecordRefusal(time.Now(), reply.FaultyEngine)
	}
	return "chain refused the request without running it: status " + strconv.Itoa(reply.Status) + ", engine " + reply.FaultyEngine
}

// handleErrorStatus sends an error answer of the engine to the caller, unless an answer
// to the caller has begun or the call is to be retried.
func (j *job) handleErrorStatus(reply *fireflysaddle.Reply) (ended bool, failure string) {
	if reply.Status >= http.StatusInternalServerError {
		j.cfg.Fleet.RecordFault(time.Now(), j.attemptAddress, "answered "+strconv.Itoa(reply.Status))
	}
	if j.headerSent || j.shouldRetryStatus(reply.Status) {
		j.failedHeads = append(j.failedHeads, j.attemptAddress)
		return false, "target answered " + strconv.Itoa(reply.Status)
	}
	part, err := j.readFirst(reply, j.attemptAddress)
	defer part.release()
	if err != nil {
		return false, "answer truncated: " + err.Error()
	}
	j.sendAnswer(reply, part)
	return true, ""
}
