package saddleentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// keyedCall is the state of a non-idempotent call with an idempotency key over
// all its attempts.
type keyedCall struct {
	*Server
	call            call
	requirements    saddleroute.Requirements
	attemptNumber   uint32            // number of the next attempt
	previousRequest string            // request whose claim the next attempt replaces
	ownClaim        *saddlewire.Claim // this request's claim for its last attempt, set once that attempt is proved not to have run
	lastErr         error             // error of the last attempt
}

// runKeyed runs a non-idempotent call with an idempotency key: it commits a claim
// for the key, dispatches the call, and records the outcome with the claim. A
// resend through any entry finds the claim. If the caller disconnects, the call
// continues until its deadline, because the caller can fetch the outcome by a resend.
func (s *Server) runKeyed(ctx context.Context, c call) (callReply, error) {
	ctx, cancel := s.end.requestContext(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	r := &keyedCall{Server: s, call: c, requirements: c.requirements(), attemptNumber: 1}
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, r.requirements, n, r.lastErr)
		if err != nil {
			return r.resolveWithoutTarget(ctx, err)
		}
		out, err := r.runAttempt(ctx, stage)
		if err == nil {
			return out, nil
		}
		if !provesNotRun(err) {
			return callReply{}, callFailure(err)
		}
		r.lastErr = err
		if !s.prepareRetry(ctx, err) {
			break
		}
	}
	return callReply{}, r.releaseOwnClaim(ctx, r.lastErr)
}

// runAttempt claims the key and dispatches the call. If another request holds a claim
// for the key, runAttempt resolves the outcome of that request instead. If provesNotRun
// holds for the error, neither this attempt nor any earlier one was run.
func (r *keyedCall) runAttempt(ctx context.Context, stage saddlechain.Stage) (callReply, error) {
	claim := newClaim(r.call, r.attemptNumber, stage)
	existing, err := r.openClaim(ctx, claim, r.previousRequest)
	if err != nil || existing != nil {
		r.router.RecordResult(time.Now(), stage, saddleroute.Result{})
	}
	if err != nil {
		return callReply{}, r.claimFailure(claim, err)
	}
	if existing != nil {
		return r.resolveExisting(ctx, existing)
	}
	sentAt := time.Now()
	answer, err := r.tryCall(ctx, r.call, r.attemptNumber, stage, r.requirements.Avoid)
	if err != nil {
		answer, err = r.resolveOutcome(ctx, r.call, claim, sentAt, err)
	}
	switch {
	case err == nil:
		r.recordOutcome(ctx, claim, answer)
		return callReply{answer: answer}, nil
	case provesNotRun(err):
		r.ownClaim = claim
		r.previousRequest = claim.GetRequest()
		r.attemptNumber++
		return callReply{}, err
	}
	r.resolveInBackground(claim, sentAt)
	return callReply{}, r.unknownOutcome(claim, err)
}

// claimFailure returns the failure of a request whose claim is not known to be
// committed. Nothing was dispatched. After an error with CodeNoMajority the claim may
// have been committed nevertheless, so it is released in the background.
func (r *keyedCall) claimFailure(claim *saddlewire.Claim, err error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeNoMajority {
		r.runInBackground(func(ctx context.Context) bool {
			_, err := r.releaseClaim(ctx, claim)
			return err == nil
		})
	}
	return callFailure(err)
}

// resolveExisting determines the outcome of another request, which opened the existing
// claim. If the answer is available, it is returned. If that request was not run and
// never will be, provesNotRun holds for the error. Any other error is a *failure.
func (r *keyedCall) resolveExisting(ctx context.Context, existing *existingClaim) (callReply, error) {
	if existing.GetState() == saddlestate.ClaimDone {
		return replayAnswer(existing)
	}
	answer, err := r.awaitSeal(ctx, existing.Claim, time.Now().Add(-existing.age))
	switch {
	case err == nil:
		r.recordOutcome(ctx, existing.Claim, answer)
		return callReply{answer: answer, replayed: true}, nil
	case provesNotRun(err):
		r.ownClaim = nil
		r.previousRequest = existing.GetRequest()
		r.attemptNumber = existing.GetAttempt() + 1
		return callReply{}, err
	}
	return callReply{}, r.unknownOutcome(existing.Claim, err)
}

// replayAnswer returns the recorded outcome of a claim.
func replayAnswer(claim *existingClaim) (callReply, error) {
	if claim.GetAnswer() == nil {
		return callReply{}, &failure{
			Code:            fireflysaddle.CodeAnswerNotKept,
			Message:         fmt.Sprintf("request %q with this key was run at target %q; its answer was too large to be stored", claim.GetRequest(), claim.GetTarget()),
			ExecutionStatus: fireflysaddle.Executed,
		}
	}
	return callReply{answer: claim.GetAnswer(), replayed: true}, nil
}

// resolveWithoutTarget handles a request for which no target is available. It
// still resolves a claim that another request holds for the key, so that the caller
// gets the answer if that request was run.
func (r *keyedCall) resolveWithoutTarget(ctx context.Context, cause error) (callReply, error) {
	if r.ownClaim != nil {
		return callReply{}, r.releaseOwnClaim(ctx, cause)
	}
	existing, err := r.findClaim(ctx, r.call)
	if err != nil || existing == nil {
		return callReply{}, callFailure(errors.Join(err, cause))
	}
	out, err := r.resolveExisting(ctx, existing)
	if provesNotRun(err) {
		err = cause
	}
	if err != nil {
		return callReply{}, callFailure(err)
	}
	return out, nil
}

// releaseOwnClaim releases this request's claim, if it has one, so that a resend
// starts from the beginning, and returns the failure for the caller.
func (r *keyedCall) releaseOwnClaim(ctx context.Context, cause error) error {
	if r.ownClaim == nil {
		return callFailure(cause)
	}
	released, err := r.releaseClaim(ctx, r.ownClaim)
	if released {
		return callFailure(cause)
	}
	if err != nil {
		claim := r.ownClaim
		r.runInBackground(func(ctx context.Context) bool {
			_, err := r.releaseClaim(ctx, claim)
			return err == nil
		})
	}
	return &failure{
		Code:            fireflysaddle.CodeInProgress,
		Message:         "this request was not run, but another one with the same key may have been",
		ExecutionStatus: fireflysaddle.ExecutionUnknown,
		RetryAfter:      defaultRetryAfter,
	}
}

// unknownOutcome returns the failure of a request whose outcome is not known. A
// resend with the same key is safe.
func (r *keyedCall) unknownOutcome(claim *saddlewire.Claim, err error) error {
	f := &failure{
		Code: fireflysaddle.CodeInProgress,
		Message: fmt.Sprintf("request %q with this key was sent to target %q, attempt %d, and its outcome is not known: %v",
			claim.GetRequest(), claim.GetTarget(), claim.GetAttempt(), err),
		ExecutionStatus: fireflysaddle.ExecutionUnknown,
		RetryAfter:      defaultRetryAfter,
	}
	if errors.Is(err, errOutcomeLost) {
		f.Code = fireflysaddle.CodeOutcomeUnknown
	}
	r.traceAttempt(time.Now(), "outcome_unknown", r.call.requestMeta, claim.GetAttempt(), fireflysaddle.TargetID(claim.GetTarget()))
	return f
}

// resolveInBackground continues to query the agent for the outcome of a request. It
// records the answer with the claim, or releases the claim if the request was not run.
// It gives up when the outcome can no longer be determined.
func (r *keyedCall) resolveInBackground(claim *saddlewire.Claim, sentAt time.Time) {
	r.runInBackground(func(ctx context.Context) bool {
		answer, err := r.trySeal(ctx, claim, sentAt)
		switch {
		case err == nil:
			return r.tryRecordOutcome(ctx, claim, answer) == nil
		case provesNotRun(err):
			_, err = r.releaseClaim(ctx, claim)
			return err == nil
		}
		return errors.Is(err, errOutcomeLost)
	})
}
