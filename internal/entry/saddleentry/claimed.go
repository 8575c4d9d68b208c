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

// claimedRun is a call that may not be repeated and has a key, over all its
// attempts.
type claimedRun struct {
	*Server
	call   call
	need   saddleroute.Requirements
	number uint32            // of the next attempt
	after  string            // request whose claim the next attempt moves on
	held   *saddlewire.Claim // this request's own claim, proved not run
	last   error             // what the last attempt failed of
}

// runClaimed runs a call that may not be repeated and has a key: the claim is
// committed first, then the call is dispatched, and its outcome is recorded
// under the claim. A resend through any entry finds the claim. The call goes on
// to its deadline when its caller is gone: the caller can come back for it.
func (s *Server) runClaimed(ctx context.Context, c call) (reply, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
	defer cancel()
	r := &claimedRun{Server: s, call: c, need: c.need(), number: 1}
	for n := uint32(1); n <= maxAttempts; n++ {
		stage, err := s.awaitService(ctx, r.need, n, r.last)
		if err != nil {
			return r.withoutTarget(ctx, err)
		}
		out, err := r.attempt(ctx, stage)
		if err == nil {
			return out, nil
		}
		if !isNotRun(err) {
			return reply{}, callFailure(err)
		}
		r.last = err
		if !s.mayRetry(ctx, err) {
			break
		}
	}
	return reply{}, r.giveUp(ctx, r.last)
}

// attempt claims the key and dispatches the call. An error for which isNotRun
// holds means that neither this attempt nor any before it was run.
func (r *claimedRun) attempt(ctx context.Context, stage saddlechain.Stage) (reply, error) {
	claim := claimOf(r.call, r.number, stage)
	earlier, err := r.openClaim(ctx, claim, r.after)
	if err != nil || earlier != nil {
		r.router.RecordResult(time.Now(), stage, saddleroute.Result{})
	}
	if err != nil {
		return reply{}, r.unclaimed(claim, err)
	}
	if earlier != nil {
		return r.takeOver(ctx, earlier)
	}
	sent := time.Now()
	answer, err := r.tryCall(ctx, r.call, r.number, stage, r.need.Avoid)
	if err != nil {
		answer, err = r.settle(ctx, r.call, claim, sent, err)
	}
	switch {
	case err == nil:
		r.record(ctx, claim, answer)
		return reply{answer: answer}, nil
	case isNotRun(err):
		r.held = claim
		r.after = claim.GetRequest()
		r.number++
		return reply{}, err
	}
	r.followOutcome(claim, sent)
	return reply{}, r.openOutcome(claim, err)
}

// unclaimed ends a request whose claim is not known to be committed. Nothing
// was dispatched; in case the claim is committed all the same, it is dropped.
func (r *claimedRun) unclaimed(claim *saddlewire.Claim, err error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeNoMajority {
		r.follow(func(ctx context.Context) bool {
			_, err := r.drop(ctx, claim)
			return err == nil
		})
	}
	return callFailure(err)
}

// takeOver settles a claim that another request opened. It returns the answer
// if there is one, an error for which isNotRun holds if that request was not
// run and never will be, and else a *failure.
func (r *claimedRun) takeOver(ctx context.Context, earlier *standingClaim) (reply, error) {
	if earlier.GetState() == saddlestate.ClaimDone {
		return replay(earlier)
	}
	answer, err := r.sealed(ctx, earlier.Claim, time.Now().Add(-earlier.age))
	switch {
	case err == nil:
		r.record(ctx, earlier.Claim, answer)
		return reply{answer: answer, replayed: true}, nil
	case isNotRun(err):
		r.held = nil
		r.after = earlier.GetRequest()
		r.number = earlier.GetAttempt() + 1
		return reply{}, err
	}
	return reply{}, r.openOutcome(earlier.Claim, err)
}

// replay answers with the recorded outcome.
func replay(claim *standingClaim) (reply, error) {
	if claim.GetAnswer() == nil {
		return reply{}, &failure{
			Code:            fireflysaddle.CodeAnswerNotKept,
			Message:         fmt.Sprintf("request %q with this key was run at target %q; its answer was too large to be kept", claim.GetRequest(), claim.GetTarget()),
			ExecutionStatus: fireflysaddle.Executed,
		}
	}
	return reply{answer: claim.GetAnswer(), replayed: true}, nil
}

// withoutTarget ends a request for which there is no target. What is recorded
// under its key is replayed all the same.
func (r *claimedRun) withoutTarget(ctx context.Context, cause error) (reply, error) {
	if r.held != nil {
		return reply{}, r.giveUp(ctx, cause)
	}
	earlier, err := r.findClaim(ctx, r.call)
	if err != nil || earlier == nil {
		return reply{}, callFailure(errors.Join(err, cause))
	}
	out, err := r.takeOver(ctx, earlier)
	if isNotRun(err) {
		err = cause
	}
	if err != nil {
		return reply{}, callFailure(err)
	}
	return out, nil
}

// giveUp drops this request's claim, if it holds one, so that a resend starts
// anew, and returns the caller's answer.
func (r *claimedRun) giveUp(ctx context.Context, cause error) error {
	if r.held == nil {
		return callFailure(cause)
	}
	dropped, err := r.drop(ctx, r.held)
	if dropped {
		return callFailure(cause)
	}
	if err != nil {
		held := r.held
		r.follow(func(ctx context.Context) bool {
			_, err := r.drop(ctx, held)
			return err == nil
		})
	}
	return &failure{
		Code:            fireflysaddle.CodeInProgress,
		Message:         "this request was not run, but another one with the same key may have been",
		ExecutionStatus: fireflysaddle.ExecutionUnknown,
		RetryAfter:      noTargetRetry,
	}
}

// openOutcome is the answer to a request whose outcome is not known. With the
// key it is safe to ask again.
func (r *claimedRun) openOutcome(claim *saddlewire.Claim, err error) error {
	f := &failure{
		Code: fireflysaddle.CodeInProgress,
		Message: fmt.Sprintf("request %q with this key was sent to target %q, attempt %d, and its outcome is not known: %v",
			claim.GetRequest(), claim.GetTarget(), claim.GetAttempt(), err),
		ExecutionStatus: fireflysaddle.ExecutionUnknown,
		RetryAfter:      noTargetRetry,
	}
	if errors.Is(err, errForgotten) {
		f.Code = fireflysaddle.CodeOutcomeUnknown
	}
	r.note(time.Now(), "outcome_unknown", r.call.caller, claim.GetAttempt(), fireflysaddle.TargetID(claim.GetTarget()))
	return f
}

// followOutcome goes on asking for the outcome of a request, to record it under
// its claim.
func (r *claimedRun) followOutcome(claim *saddlewire.Claim, sent time.Time) {
	r.follow(func(ctx context.Context) bool {
		answer, err := r.askOnce(ctx, claim, sent)
		switch {
		case err == nil:
			return r.recordOnce(ctx, claim, answer) == nil
		case isNotRun(err):
			_, err = r.drop(ctx, claim)
			return err == nil
		}
		return errors.Is(err, errForgotten)
	})
}
