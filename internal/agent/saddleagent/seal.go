package saddleagent

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleledger"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// maxSealKeep bounds how long a tombstone may be asked for.
const maxSealKeep = 48 * time.Hour

// Seal makes sure that a request that was not sent to the target never will
// be, and says what became of it. An agent that was started anew cannot vouch
// for its earlier incarnation and answers UNKNOWN.
func (s *Server) Seal(_ context.Context, in *saddlewire.SealRequest) (*saddlewire.SealResponse, error) {
	countSeals.Add(1)
	if in.GetIncarnation() != uint64(s.cfg.Incarnation) {
		return &saddlewire.SealResponse{State: saddlewire.SealResponse_UNKNOWN}, nil
	}
	now := time.Now()
	keep := min(time.Duration(in.GetKeepMs())*time.Millisecond, maxSealKeep)
	age := time.Duration(in.GetAgeMs()) * time.Millisecond
	s.ledgerMu.Lock()
	state, answer := s.ledger.Seal(now, fireflysaddle.RequestID(in.GetRequest()), fireflysaddle.Attempt(in.GetAttempt()), age, keep)
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

// Ping answers the head of a chain.
func (s *Server) Ping(_ context.Context, in *saddlewire.PingRequest) (*saddlewire.PingResponse, error) {
	return s.stages.Ping(in.GetRequest(), in.GetAttempt()), nil
}

// Hop takes in the frames of another agent.
func (s *Server) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	return s.stages.Hop(stream)
}
