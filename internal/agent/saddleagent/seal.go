package saddleagent

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleledger"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// maxTombstoneLifetime limits the lifetime that a SealRequest can ask for.
const maxTombstoneLifetime = 48 * time.Hour

// Seal ensures that a request that has not yet been sent to the target will never be
// sent, and returns the request's state. A request that has ended is reported as DONE
// while its answer is held, and as UNKNOWN if it has no answer or the answer has
// expired. A restarted agent has no record of the requests of its earlier
// incarnations and answers UNKNOWN for them.
func (s *Server) Seal(_ context.Context, in *saddlewire.SealRequest) (*saddlewire.SealResponse, error) {
	countSeals.Add(1)
	if in.GetIncarnation() != uint64(s.cfg.Incarnation) {
		return &saddlewire.SealResponse{State: saddlewire.SealResponse_UNKNOWN}, nil
	}
	now := time.Now()
	lifetime := min(time.Duration(in.GetKeepMs())*time.Millisecond, maxTombstoneLifetime)
	age := time.Duration(in.GetAgeMs()) * time.Millisecond
	s.ledgerMu.Lock()
	state, answer := s.ledger.Seal(now, fireflysaddle.RequestID(in.GetRequest()), fireflysaddle.Attempt(in.GetAttempt()), age, lifetime)
	s.ledgerMu.Unlock()
	out := &saddlewire.SealResponse{Answer: wireAnswer(answer)}
	switch {
	case state == saddleledger.Sealed:
		out.State = saddlewire.SealResponse_SEALED
	case state == saddleledger.Running:
		out.State = saddlewire.SealResponse_RUNNING
	case answer != nil:
		out.State = saddlewire.SealResponse_DONE
	}
	s.cfg.Timeline.Add(now, saddletimeline.Event{Name: "seal", Request: in.GetRequest(), Detail: out.GetState().String()})
	return out, nil
}

// Ping reports the state of an attempt to another agent of its chain.
func (s *Server) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return s.stages.Ping(in.GetRequest(), in.GetAttempt()), nil
}

// Hop receives the frames that another agent sends along a chain.
func (s *Server) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	return s.stages.Hop(stream)
}
