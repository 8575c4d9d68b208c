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
	sealTimeout = time.Second            // of one question to an agent
	sealPoll    = 200 * time.Millisecond // between questions while a call runs
	sealTries   = 3                      // questions to an agent that does not answer
	sealKeep    = 24 * time.Hour         // how long a tombstone must last
)

// Why the outcome of an attempt is not known.
var (
	errForgotten  = errors.New("its agent was started anew or its target broke off, and nobody can say whether it was run")
	errNotReached = errors.New("its agent does not answer")
	errRuns       = errors.New("it runs")
)

// claimOf describes one attempt of a call.
func claimOf(c call, number uint32, stage saddlechain.Stage) *saddlewire.Claim {
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

// settle finds out, after an attempt of a call that may not be repeated
// failed, whether it was run. It returns the answer if the agent has it, an
// error for which isNotRun holds if the request was not run and never will be,
// and any other error if that cannot be known.
func (s *Server) settle(ctx context.Context, c call, claim *saddlewire.Claim, sent time.Time, err error) (*saddlewire.Answer, error) {
	if isNotRun(err) {
		return nil, err
	}
	s.note(time.Now(), "settle", c.caller, claim.GetAttempt(), fireflysaddle.TargetID(claim.GetTarget()))
	answer, open := s.sealed(ctx, claim, sent)
	if open != nil && !isNotRun(open) {
		return nil, fmt.Errorf("%w (%w)", open, err)
	}
	return answer, open
}

// sealed asks the agent named in a claim until it knows the outcome. sent is
// not after the time when the attempt was sent. Without time left it asks once.
func (s *Server) sealed(ctx context.Context, claim *saddlewire.Claim, sent time.Time) (*saddlewire.Answer, error) {
	for unanswered := 0; ; {
		answer, err := s.askOnce(ctx, claim, sent)
		switch {
		case errors.Is(err, errNotReached):
			unanswered++
		case !errors.Is(err, errRuns):
			return answer, err
		}
		if unanswered == sealTries {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(sealPoll):
		}
	}
}

// askOnce asks the agent named in a claim once for the outcome. An error is a
// *RefusedError where the request was not run and never will be, else one of
// errForgotten, errNotReached and errRuns.
func (s *Server) askOnce(ctx context.Context, claim *saddlewire.Claim, sent time.Time) (*saddlewire.Answer, error) {
	out, err := s.seal(ctx, claim, time.Since(sent))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotReached, opaque(err))
	}
	switch out.GetState() {
	case saddlewire.SealResponse_DONE:
		return out.GetAnswer(), nil
	case saddlewire.SealResponse_SEALED:
		return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeSealed, Message: "the request was sealed before it was run", RetryAfter: noTargetRetry}
	case saddlewire.SealResponse_RUNNING:
		return nil, errRuns
	}
	return nil, errForgotten
}

// opaque hides an error's kind: that the question was not sent does not say
// that the request was not.
func opaque(err error) error { return errors.New(err.Error()) }

// seal asks over a new connection: the one that the request took may be silent.
func (s *Server) seal(ctx context.Context, claim *saddlewire.Claim, age time.Duration) (*saddlewire.SealResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sealTimeout)
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
		KeepMs:      sealKeep.Milliseconds(),
		AgeMs:       age.Milliseconds(),
	})
}
