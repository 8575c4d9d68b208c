package saddleagent

import (
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// admit checks a request's ticket against the agent's state and enters the request
// into the ledger. The error is a *fireflysaddle.RefusedError when the request was
// not run, or a *saddleledger.DuplicateError when it may have been run.
func (s *Server) admit(now time.Time, t *saddlewire.Ticket, stage *saddlewire.Stage, kind fireflysaddle.TargetKind, repeatable bool) (*backend, error) {
	b, err := s.checkTicket(t, stage, kind)
	if err != nil {
		return nil, err
	}
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	deadline := now.Add(timeBudget(t))
	err = s.ledger.Receive(now, fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()), repeatable, deadline)
	return b, err
}

func (s *Server) checkTicket(t *saddlewire.Ticket, stage *saddlewire.Stage, kind fireflysaddle.TargetKind) (*backend, error) {
	if t.GetIncarnation() != uint64(s.cfg.Incarnation) {
		return nil, newRefusal(fireflysaddle.CodeWrongIncarnation, "the request is addressed to incarnation %d of this agent", t.GetIncarnation())
	}
	if timeBudget(t) <= 0 {
		return nil, newRefusal(fireflysaddle.CodeDeadline, "the deadline passed before the request reached the agent")
	}
	if s.stopping.Load() {
		return nil, shutdownRefusal()
	}
	b, leaving := s.localTarget.live()
	if b == nil {
		return nil, newRefusal(fireflysaddle.CodeNotReady, "the agent has no live target")
	}
	view := s.control.View()
	if leaving || view.Drained(string(b.id())) {
		return nil, newRefusal(fireflysaddle.CodeLeaving, "target %q accepts no new requests", b.id())
	}
	if fireflysaddle.TargetKind(b.announcement.Kind) != kind {
		return nil, newRefusal(fireflysaddle.CodeWrongTarget, "target %q is not of kind %s", b.id(), kind)
	}
	if !b.matchesStage(stage) {
		return nil, newRefusal(fireflysaddle.CodeWrongTarget, "the agent's target no longer matches the stage chosen for target %q", stage.GetTarget())
	}
	if known := view.Deployments[t.GetWorkspace()].GetRevision(); t.GetRevision() < known {
		err := newRefusal(fireflysaddle.CodeStaleRevision, "the request has an outdated revision: deployment %q is at revision %d", t.GetWorkspace(), known)
		err.Revision = fireflysaddle.Revision(known)
		return nil, err
	}
	return b, nil
}

// recordStart records in the ledger that a request is about to be sent to the
// target.
func (s *Server) recordStart(t *saddlewire.Ticket) error {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	return s.ledger.Start(time.Now(), fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()))
}

// recordFinish records in the ledger that a request has ended.
func (s *Server) recordFinish(t *saddlewire.Ticket, answer *fireflysaddle.Answer) {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	s.ledger.Finish(fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()), answer)
}

// recordRefusal records in the ledger that a request was refused and not run.
func (s *Server) recordRefusal(t *saddlewire.Ticket) {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	s.ledger.Refuse(fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()))
}

func newDemand(now time.Time, t *saddlewire.Ticket, tokens int) fireflysaddle.Demand {
	return fireflysaddle.Demand{
		Request:   fireflysaddle.RequestID(t.GetRequest()),
		Workspace: fireflysaddle.Workspace(t.GetWorkspace()),
		Weight:    t.GetWeight(),
		Priority:  fireflysaddle.Priority(t.GetPriority()),
		Tokens:    tokens,
		Deadline:  now.Add(timeBudget(t)),
	}
}

// timeBudget returns the time that was left until the request's deadline when the
// ticket was sent.
func timeBudget(t *saddlewire.Ticket) time.Duration {
	return time.Duration(t.GetBudgetMs()) * time.Millisecond
}

func shutdownRefusal() *fireflysaddle.RefusedError {
	return newRefusal(fireflysaddle.CodeLeaving, "the agent is shutting down")
}

func newRefusal(code fireflysaddle.Code, format string, args ...any) *fireflysaddle.RefusedError {
	return &fireflysaddle.RefusedError{Code: code, Message: fmt.Sprintf(format, args...)}
}
