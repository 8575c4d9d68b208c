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
	claimTimeout            = 2 * time.Second // limit for committing or finding a claim at the control replicas
	recordTimeout           = time.Second     // limit for recording an outcome while the caller waits
	backgroundTimeout       = 2 * time.Minute // limit for resolving and recording an outcome after the caller was answered
	backgroundRetryInterval = time.Second     // pause between attempts to resolve or record an outcome
	maxRecordedBytes        = 64 << 10        // largest answer body that is stored with its claim
)

// existingClaim is a claim that another request holds for the same key.
type existingClaim struct {
	*saddlewire.Claim
	age time.Duration // time since the claim's last change
}

// openClaim commits a claim. If previousRequest is not empty, the claim replaces
// that request's claim. If another claim for the key prevents the commit, openClaim
// returns that claim. When the control replicas cannot commit the claim, the error
// is a refusal, since the call has not been dispatched.
func (s *Server) openClaim(ctx context.Context, claim *saddlewire.Claim, previousRequest string) (*existingClaim, error) {
	countClaims.Add(1)
	result, err := s.command(ctx, claimTimeout, &saddlewire.Command{
		Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{Claim: claim, After: previousRequest}},
	})
	if err != nil {
		return nil, commitRefusal(err)
	}
	return existingClaimFrom(result)
}

// findClaim returns the existing claim for a call's key, or nil.
func (s *Server) findClaim(ctx context.Context, c call) (*existingClaim, error) {
	result, err := s.command(ctx, claimTimeout, &saddlewire.Command{
		Change: &saddlewire.Command_FindClaim{FindClaim: &saddlewire.FindClaim{
			Workspace: c.deployment.GetWorkspace(),
			Key:       c.key,
			Digest:    c.digest(),
		}},
	})
	if err != nil {
		return nil, commitRefusal(err)
	}
	if result.GetCode() == string(fireflysaddle.CodeNotFound) {
		return nil, nil
	}
	return existingClaimFrom(result)
}

func (s *Server) command(ctx context.Context, timeout time.Duration, command *saddlewire.Command) (*saddlewire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	command.Request = uuid.NewString()
	return s.control.Submit(ctx, command)
}

// commitRefusal returns the refusal of a request whose claim could not be committed.
func commitRefusal(err error) error {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return refused
	}
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoMajority,
		Message:    "the claim could not be committed in time",
		RetryAfter: defaultRetryAfter,
	}
}

// existingClaimFrom returns the existing claim in the result of a command, nil if the
// command was accepted, or the control replicas' refusal.
func existingClaimFrom(result *saddlewire.Result) (*existingClaim, error) {
	switch claim := result.GetClaim(); {
	case result.GetAccepted():
		return nil, nil
	case claim != nil:
		return &existingClaim{Claim: claim, age: time.Duration(result.GetNowNs() - claim.GetOpenedNs())}, nil
	}
	return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.Code(result.GetCode()), Message: result.GetMessage()}
}

// recordOutcome records the outcome with the claim. It blocks the caller for at
// most recordTimeout and then continues in the background. Until the outcome is
// recorded, a resend gets the answer from the agent.
func (s *Server) recordOutcome(ctx context.Context, claim *saddlewire.Claim, answer *saddlewire.Answer) {
	ctx, cancel := s.end.outcomeContext(ctx, recordTimeout)
	defer cancel()
	if err := s.tryRecordOutcome(ctx, claim, answer); err == nil {
		return
	}
	s.runInBackground(func(ctx context.Context) bool { return s.tryRecordOutcome(ctx, claim, answer) == nil })
}

func (s *Server) tryRecordOutcome(ctx context.Context, claim *saddlewire.Claim, answer *saddlewire.Answer) error {
	settle := &saddlewire.SettleClaim{
		Workspace: claim.GetWorkspace(),
		Key:       claim.GetKey(),
		Request:   claim.GetRequest(),
		Answer:    answer,
	}
	if len(answer.GetBody()) > maxRecordedBytes {
		settle.Answer = nil // the record still shows that the request ran
	}
	_, err := s.command(ctx, recordTimeout, &saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: settle}})
	return err
}

// releaseClaim removes a claim whose latest attempt was not run, so that a resend
// starts from the beginning. It returns false when the claim is not known to be
// removed. In that case another request may have replaced the claim and may run.
func (s *Server) releaseClaim(ctx context.Context, claim *saddlewire.Claim) (released bool, err error) {
	ctx, cancel := s.end.outcomeContext(ctx, recordTimeout)
	defer cancel()
	result, err := s.command(ctx, recordTimeout, &saddlewire.Command{
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
