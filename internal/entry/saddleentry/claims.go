package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	claimTimeout  = 2 * time.Second // for control to commit a claim
	recordTimeout = time.Second     // for control to record an outcome
)

// runClaimed runs a call that may not be repeated and has a key: the claim is
// committed first, then the call is dispatched, and its outcome is recorded
// under the claim. A resend through any entry finds the claim.
func (s *Server) runClaimed(ctx context.Context, c call) (reply, error) {
	need := c.need()
	var last error
	number := uint32(1)
	for range maxAttempts {
		stage, err := s.awaitService(ctx, need, last)
		if err != nil {
			return reply{}, callFailure(err)
		}
		claim := claimOf(c, number, stage)
		earlier, err := s.openClaim(ctx, claim)
		if err != nil || earlier != nil {
			s.router.Done(time.Now(), stage, saddleroute.Result{})
		}
		switch {
		case err != nil:
			return reply{}, callFailure(err)
		case earlier.GetState() == saddlestate.ClaimDone:
			return reply{answer: earlier.GetAnswer(), replayed: true}, nil
		case earlier != nil:
			answer, err := s.takeOver(ctx, earlier)
			if err == nil {
				return reply{answer: answer, replayed: true}, nil
			}
			if !isNotRun(err) {
				return reply{}, callFailure(err)
			}
			number = earlier.GetAttempt() + 1
			last = err
			continue
		}
		answer, err := s.tryCall(ctx, c, number, stage, need.Avoid)
		if err != nil {
			answer, err = s.settle(ctx, c, claim, err)
		}
		if err == nil {
			s.record(ctx, claim, answer)
			return reply{answer: answer}, nil
		}
		last = err
		if !isNotRun(err) {
			return reply{}, callFailure(err)
		}
		if !s.mayRetry(ctx, err) {
			return reply{}, s.drop(ctx, claim, err)
		}
		number++
	}
	return reply{}, callFailure(last)
}

// openClaim commits a claim. It returns the claim that stands in its way, if
// any. When control cannot commit, the call is refused: it was not dispatched.
func (s *Server) openClaim(ctx context.Context, claim *saddlewire.Claim) (*saddlewire.Claim, error) {
	countClaims.Add(1)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := s.control.Submit(ctx, &saddlewire.Command{
		Request: uuid.NewString(),
		Change:  &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{Claim: claim}},
	})
	var refused *fireflysaddle.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, refused
	case err != nil:
		return nil, notRun(fireflysaddle.CodeNoMajority, "the claim could not be committed in time", noTargetRetry)
	case result.GetAccepted():
		return nil, nil
	case result.GetClaim() != nil:
		return result.GetClaim(), nil
	}
	return nil, notRun(fireflysaddle.Code(result.GetCode()), result.GetMessage(), 0)
}

// takeOver settles a claim that another request opened. It returns the answer
// if there is one, a *RefusedError if that request was not run and never will
// be, and else a *failure.
func (s *Server) takeOver(ctx context.Context, claim *saddlewire.Claim) (*saddlewire.Answer, error) {
	answer, err := s.sealed(ctx, claim)
	switch {
	case err == nil:
		s.record(ctx, claim, answer)
		return answer, nil
	case isNotRun(err):
		return nil, err
	}
	return nil, &failure{
		Code:       fireflysaddle.CodeInProgress,
		Message:    "a request with this key was dispatched and its outcome is not known",
		Ran:        fireflysaddle.RanUnknown,
		RetryAfter: noTargetRetry,
	}
}

// record notes the outcome under the claim. Where that fails the caller gets
// its answer all the same, and a resend finds it at the agent.
func (s *Server) record(ctx context.Context, claim *saddlewire.Claim, answer *saddlewire.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	_, err := s.control.Submit(ctx, &saddlewire.Command{
		Request: uuid.NewString(),
		Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
			Workspace: claim.GetWorkspace(),
			Key:       claim.GetKey(),
			Request:   claim.GetRequest(),
			Answer:    answer,
		}},
	})
	if err != nil {
		s.cfg.Log.Warn().Err(err).Str("request", claim.GetRequest()).Msg("outcome not recorded under its claim")
	}
}

// drop gives up a claim whose latest attempt was not run, so that a resend
// starts anew, and returns the caller's answer. When the claim has moved on,
// another request may run it.
func (s *Server) drop(ctx context.Context, claim *saddlewire.Claim, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	result, err := s.control.Submit(ctx, &saddlewire.Command{
		Request: uuid.NewString(),
		Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
			Workspace: claim.GetWorkspace(),
			Key:       claim.GetKey(),
			Request:   claim.GetRequest(),
			NotRun:    true,
			Attempt:   claim.GetAttempt(),
		}},
	})
	if err == nil && result.GetAccepted() {
		return callFailure(cause)
	}
	return &failure{
		Code:       fireflysaddle.CodeInProgress,
		Message:    "this attempt was not run, but another request with the same key may have been",
		Ran:        fireflysaddle.RanUnknown,
		RetryAfter: noTargetRetry,
	}
}
