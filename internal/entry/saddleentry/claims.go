package saddleentry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	claimTimeout  = 2 * time.Second // for control to commit a claim
	recordTimeout = time.Second     // for control to record an outcome while the caller waits
	followTime    = 2 * time.Minute // for an outcome to be learned and recorded after that
	followPause   = time.Second     // between tries to learn or record it
	maxRecorded   = 64 << 10        // bytes of an answer that are kept under its claim
)

// standingClaim is a claim that stands in a request's way.
type standingClaim struct {
	*saddlewire.Claim
	age time.Duration // since its last change
}

// openClaim commits a claim that moves on after another request's, if one is
// named. It returns the claim that stands in its way, if any. When control
// cannot commit, the call is refused: it was not dispatched.
func (s *Server) openClaim(ctx context.Context, claim *saddlewire.Claim, after string) (*standingClaim, error) {
	countClaims.Add(1)
	result, err := s.command(ctx, claimTimeout, &saddlewire.Command{
		Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{Claim: claim, After: after}},
	})
	if err != nil {
		return nil, uncommitted(err)
	}
	return standing(result)
}

// findClaim returns the claim of a call's key, or nil.
func (s *Server) findClaim(ctx context.Context, c call) (*standingClaim, error) {
	result, err := s.command(ctx, claimTimeout, &saddlewire.Command{
		Change: &saddlewire.Command_FindClaim{FindClaim: &saddlewire.FindClaim{
			Workspace: c.deployment.GetWorkspace(),
			Key:       c.key,
			Digest:    c.digest(),
		}},
	})
	if err != nil {
		return nil, uncommitted(err)
	}
	if result.GetCode() == string(fireflysaddle.CodeNotFound) {
		return nil, nil
	}
	return standing(result)
}

func (s *Server) command(ctx context.Context, timeout time.Duration, command *saddlewire.Command) (*saddlewire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	command.Request = uuid.NewString()
	return s.control.Submit(ctx, command)
}

// uncommitted refuses a request whose claim control could not commit.
func uncommitted(err error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoMajority,
		Message:    "the claim could not be committed in time",
		RetryAfter: noTargetRetry,
	}
}

func standing(result *saddlewire.Result) (*standingClaim, error) {
	switch claim := result.GetClaim(); {
	case result.GetAccepted():
		return nil, nil
	case claim != nil:
		return &standingClaim{Claim: claim, age: time.Duration(result.GetNowNs() - claim.GetOpenedNs())}, nil
	}
	return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.Code(result.GetCode()), Message: result.GetMessage()}
}

// record notes the outcome under the claim. The caller waits for it a moment
// only; until it is recorded a resend finds the answer at the agent.
func (s *Server) record(ctx context.Context, claim *saddlewire.Claim, answer *saddlewire.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	if err := s.recordOnce(ctx, claim, answer); err == nil {
		return
	}
	s.follow(func(ctx context.Context) bool { return s.recordOnce(ctx, claim, answer) == nil })
}

func (s *Server) recordOnce(ctx context.Context, claim *saddlewire.Claim, answer *saddlewire.Answer) error {
	settle := &saddlewire.SettleClaim{
		Workspace: claim.GetWorkspace(),
		Key:       claim.GetKey(),
		Request:   claim.GetRequest(),
		Answer:    answer,
	}
	if len(answer.GetBody()) > maxRecorded {
		settle.Answer = nil // it ran; that is what must not be forgotten
	}
	_, err := s.command(ctx, recordTimeout, &saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: settle}})
	return err
}

// drop gives up a claim whose latest attempt was not run, so that a resend
// starts anew. It reports false when that is not known to have happened: then
// another request may have moved the claim on, and may run.
func (s *Server) drop(ctx context.Context, claim *saddlewire.Claim) (dropped bool, err error) {
	result, err := s.command(context.WithoutCancel(ctx), recordTimeout, &saddlewire.Command{
		Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
			Workspace: claim.GetWorkspace(),
			Key:       claim.GetKey(),
			Request:   claim.GetRequest(),
			NotRun:    true,
			Attempt:   claim.GetAttempt(),
		}},
	})
	return err == nil && result.GetAccepted(), err
}
