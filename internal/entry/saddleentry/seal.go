package saddleentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	sealTimeout       = time.Second            // limit of one seal request to an agent
	sealPollInterval  = 200 * time.Millisecond // pause between seal requests
	maxSealFailures   = 3                      // unanswered seal requests after which awaitSeal returns
	tombstoneLifetime = 24 * time.Hour         // time for which the agent retains a tombstone
)

// Reasons why the outcome of an attempt is not known.
var (
	errOutcomeLost      = errors.New("the agent restarted or the target failed during the request; whether it ran cannot be determined")
	errAgentUnreachable = errors.New("the agent does not answer")
	errStillRunning     = errors.New("the request is still running")
)

// newClaim returns the claim for one attempt of a call.
func newClaim(c call, number uint32, stage saddlechain.Stage) *saddlewire.Claim {
	return &saddlewire.Claim{
		Workspace:   c.deployment.GetWorkspace(),
		Key:         c.key,
		Digest:      c.digest(),
		Request:     c.request,
		Attempt:     number,
		Target:      string(stage.Target),
		Address:     stage.Address,
		Incarnation: uint64(stage.Incarnation),
	}
}

// resolveOutcome determines whether a failed attempt of a non-idempotent call was
// run. If the agent has the answer, resolveOutcome returns it. If the request was not
// run and never will be, provesNotRun holds for the error. Any other error means that
// the outcome cannot be determined.
func (s *Server) resolveOutcome(ctx context.Context, c call, claim *saddlewire.Claim, sentAt time.Time, err error) (*saddlewire.Answer, error) {
	if provesNotRun(err) {
		return nil, err
	}
	s.traceAttempt(time.Now(), "settle", c.requestMeta, claim.GetAttempt(), fireflysaddle.TargetID(claim.GetTarget()))
	answer, sealErr := s.awaitSeal(ctx, claim, sentAt)
	if sealErr != nil && !provesNotRun(sealErr) {
		return nil, fmt.Errorf("%w (%w)", sealErr, err)
	}
	return answer, sealErr
}

// awaitSeal sends seal requests to the agent named in a claim until the outcome is
// known, maxSealFailures of them were not answered, or ctx is done. It sends at least
// one, even if ctx is done already. sentAt must not be later than the time at which the
// attempt was sent.
func (s *Server) awaitSeal(ctx context.Context, claim *saddlewire.Claim, sentAt time.Time) (*saddlewire.Answer, error) {
	for failures := 0; ; {
		answer, err := s.trySeal(ctx, claim, sentAt)
		switch {
		case errors.Is(err, errAgentUnreachable):
			failures++
		case !errors.Is(err, errStillRunning):
			return answer, err
		}
		if failures == maxSealFailures {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(sealPollInterval):
		}
	}
}

// trySeal sends one seal request to the agent named in a claim. A seal request asks
// the agent for the state of the request, and to ensure that the request never runs
// if it has not started. If the agent has the answer, trySeal returns it. If the
// request was not run and never will be, the error is a *RefusedError. Any other
// error is or wraps errOutcomeLost, errAgentUnreachable or errStillRunning.
func (s *Server) trySeal(ctx context.Context, claim *saddlewire.Claim, sentAt time.Time) (*saddlewire.Answer, error) {
	out, err := s.sendSeal(ctx, claim, time.Since(sentAt))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errAgentUnreachable, hideErrorType(err))
	}
	switch out.GetState() {
	case saddlewire.SealResponse_DONE:
		return out.GetAnswer(), nil
	case saddlewire.SealResponse_SEALED:
		return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeSealed, Message: "the request was sealed before it was run", RetryAfter: defaultRetryAfter}
	case saddlewire.SealResponse_RUNNING:
		return nil, errStillRunning
	}
	return nil, errOutcomeLost
}

// hideErrorType returns an error with the same text and without the type. The type is
// hidden because a NotSentError that concerns only the seal request would otherwise
// count as proof that the call was not sent.
func hideErrorType(err error) error { return errors.New(err.Error()) }

// sendSeal sends a seal request over a new connection, because the connection that
// carried the request may be unresponsive.
func (s *Server) sendSeal(ctx context.Context, claim *saddlewire.Claim, age time.Duration) (*saddlewire.SealResponse, error) {
	ctx, cancel := s.end.outcomeContext(ctx, sealTimeout)
	defer cancel()
	conn, err := saddlelink.DialWithNetwork(ctx, s.cfg.Network, claim.GetAddress())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return saddlewire.NewDRPCAgentClient(conn).Seal(ctx, &saddlewire.SealRequest{
		Request:     claim.GetRequest(),
		Attempt:     claim.GetAttempt(),
		Incarnation: claim.GetIncarnation(),
		KeepMs:      tombstoneLifetime.Milliseconds(),
		AgeMs:       age.Milliseconds(),
	})
}
