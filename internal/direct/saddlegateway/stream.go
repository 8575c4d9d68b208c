package saddlegateway

import (
	"context"
	"io"
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
	if j.mayOutlastProcess(time.Now()) {
		j.refuseLeaving()
		return
	}
	defer j.releaseNextAttempt()
	for {
		if refusal := j.quarantineRefusal(time.Now()); refusal != nil {
			j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		chain, release, refusal := j.pickChain(ctx)
		if refusal != nil {
			j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		if refusal := j.quarantineRefusal(time.Now()); refusal != nil { // it may have waited for a chain
			release()
			j.failCall(ctx, refusal.Code, refusal.Message, refusal.RetryAfter)
			return
		}
		if j.mayOutlastProcess(time.Now()) { // the same
			release()
			j.refuseLeaving()
			return
		}
		if !j.reserveSend(ctx) {
			release()
			j.failCall(ctx, fireflysaddle.CodeTargetFailed, "no retry is left", noCapacityRetryAfter)
			return
		}
		ended, failure := j.tryStream(ctx, chain)
		release()
		if ended {
			return
		}
		j.logFraming(j.logEvent(zerolog.InfoLevel)).Strs("chain", j.chainAddresses).Str("reason", failure).Int("runs", j.runs).
			Str("fingerprint", j.fingerprint()).Int("events", j.eventsSent).Int("attempt_events", j.attemptEvents).Strs("traits", traitNames(j.traits())).Str("last_event", j.lastEventID).Strs("avoid", j.avoidedAddresses(time.Now())).Msg("attempt failed")
		if ctx.Err() != nil || (j.runs > 0 && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts)) {
			j.failCall(ctx, fireflysaddle.CodeTargetFailed, failure, noCapacityRetryAfter)
			return
		}
	}
}

// pickChain selects a chain, or a single target for a plain service, unless one is reserved.
// It waits for a chain with capacity until the caller has had no event for capacityWait.
func (j *job) pickChain(ctx context.Context) (saddlefleet.Chain, func(), *Refusal) {
	if next, ok := j.takeNextAttempt(); ok {
		return next.chain, next.release, nil
	}
	if j.pool.Model == nil {
		t, release, ok := j.pickTarget(time.Now())
		if !ok {
			return saddlefleet.Chain{}, nil, &Refusal{Code: fireflysaddle.CodeNoTarget, Message: "no target is available", RetryAfter: j.targetsRetryAfter(time.Now())}
		}
		return saddlefleet.Chain{Head: t}, release, nil
	}
	return j.awaitChain(ctx)
}

// tryStream sends the call to the head of one chain and relays the events. It reports
// whether the call has ended and, if it has not, why the attempt failed.
func (j *job) tryStream(ctx context.Context, chain saddlefleet.Chain) (ended bool, failure string) {
	now := time.Now()
	f := j.newForward(now, chain.Head)
	f.Chain = chain.Parts
	f.LastEventID = j.lastEventID
	j.chainAddresses, j.attemptAddress, j.attemptLifetime, j.attemptEvents = chain.Addresses(), chain.Head.Address, chain.Head.Lifetime(), 0
	j.attemptSentAt = now
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := j.startWatchdog(ctx, cancel, chain)
	defer func() {
		j.chainAddresses = watch.stop().Addresses()
		if address := watch.faultyAddress.Load(); address != nil {
			j.avoidEngine(time.Now(), *address, avoidFailedFor)
		}
	}()
	reply, err := j.cfg.Forwarder.Forward(ctx, f)
	j.recordNotice(time.Now(), now, chain.Head, reply, err)
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
	j.runs++
	j.framing, j.partialBytes = reply.Framing.String(), 0
	if reply.Status != http.StatusOK {
		return j.handleErrorStatus(reply)
	}
	if !isEventStream(reply.Header) {
		return j.relayBody(reply)
	}
	reply.Length = -1 // the events of a further attempt may have another length
	return j.relay(ctx, reply, watch)
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
	body, err := io.ReadAll(io.LimitReader(reply.Body, bufferedAnswerBytes))
	if err != nil {
		return false, "answer truncated: " + err.Error()
	}
	j.sendAnswer(reply, body)
	return true, ""
}
