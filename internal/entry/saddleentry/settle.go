package saddleentry

import (
	"context"
	"errors"
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
	sealKeep    = time.Hour              // how long a tombstone must last
)

// errOpen says that the outcome of an attempt could not be learned.
var errOpen = errors.New("the agent cannot say whether the request was run")

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
// failed, whether it was run. It returns the answer if the agent has it, a
// *RefusedError if the request was not run and never will be, and any other
// error if that cannot be known. A caller that is gone is not waited for.
func (s *Server) settle(ctx context.Context, c call, claim *saddlewire.Claim, err error) (*saddlewire.Answer, error) {
	if isNotRun(err) {
		return nil, err
	}
	s.note(time.Now(), "settle", c.caller, claim.GetAttempt(), fireflysaddle.TargetID(claim.GetTarget()))
	return s.sealed(ctx, claim)
}

// sealed asks the agent named in a claim until it knows the outcome.
func (s *Server) sealed(ctx context.Context, claim *saddlewire.Claim) (*saddlewire.Answer, error) {
	for unanswered := 0; unanswered < sealTries; {
		out, err := seal(ctx, claim)
		switch {
		case err != nil:
			unanswered++
		case out.GetState() == saddlewire.SealResponse_DONE:
			return out.GetAnswer(), nil
		case out.GetState() == saddlewire.SealResponse_SEALED:
			return nil, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeSealed, Message: "the request was sealed before it was run", RetryAfter: noTargetRetry}
		case out.GetState() == saddlewire.SealResponse_UNKNOWN:
			return nil, errOpen
		}
		select {
		case <-ctx.Done():
			return nil, errOpen
		case <-time.After(sealPoll):
		}
	}
	return nil, errOpen
}

// seal asks over a new connection: the one that the request took may be silent.
func seal(ctx context.Context, claim *saddlewire.Claim) (*saddlewire.SealResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sealTimeout)
	defer cancel()
	conn, err := saddlelink.Dial(ctx, claim.GetAddress())
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return saddlewire.NewDRPCAgentClient(conn).Seal(ctx, &saddlewire.SealRequest{
		Request:     claim.GetRequest(),
		Incarnation: claim.GetIncarnation(),
		KeepMs:      sealKeep.Milliseconds(),
	})
}
