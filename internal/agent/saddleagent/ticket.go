package saddleagent

import (
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// admit checks a request's ticket against what the agent knows and enters it
// into the ledger. An error is a *fireflysaddle.RefusedError, or a
// *saddleledger.DuplicateError: then the request may have been run.
func (s *Server) admit(now time.Time, t *saddlewire.Ticket, stage *saddlewire.Stage, kind fireflysaddle.TargetKind, repeatable bool) (*backend, error) {
	b, err := s.checkTicket(t, stage, kind)
	if err != nil {
		return nil, err
	}
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	deadline := now.Add(budget(t))
	err = s.ledger.Receive(now, fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()), repeatable, deadline)
	return b, err
}

func (s *Server) checkTicket(t *saddlewire.Ticket, stage *saddlewire.Stage, kind fireflysaddle.TargetKind) (*backend, error) {
	if t.GetIncarnation() != uint64(s.cfg.Incarnation) {
		return nil, refused(fireflysaddle.CodeWrongIncarnation, "the request is meant for incarnation %d of this agent", t.GetIncarnation())
	}
	if budget(t) <= 0 {
		return nil, refused(fireflysaddle.CodeDeadline, "the deadline passed before the request came")
	}
	if s.stopping.Load() {
		return nil, refused(fireflysaddle.CodeLeaving, "this agent is stopping")
	}
	b, leaving := s.slot.current()
	if b == nil {
		return nil, refused(fireflysaddle.CodeNotReady, "there is no target in this slot")
	}
	view := s.attendant.View()
	if leaving || view.Drained(string(b.id())) {
		return nil, refused(fireflysaddle.CodeLeaving, "target %q takes no new work", b.id())
	}
	if fireflysaddle.TargetKind(b.announced.Kind) != kind {
		return nil, refused(fireflysaddle.CodeWrongTarget, "target %q is no %s", b.id(), kind)
	}
	if !b.holds(stage) {
		return nil, refused(fireflysaddle.CodeWrongTarget, "this slot no longer holds what target %q was chosen for", stage.GetTarget())
	}
	if known := view.Deployments[t.GetWorkspace()].GetRevision(); t.GetRevision() < known {
		err := refused(fireflysaddle.CodeStaleRevision, "deployment %q is at revision %d here", t.GetWorkspace(), known)
		err.Revision = fireflysaddle.Revision(known)
		return nil, err
	}
	return b, nil
}

// start notes in the ledger that a request is about to be sent to the target.
func (s *Server) start(t *saddlewire.Ticket) error {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	return s.ledger.Start(time.Now(), fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()))
}

// finish notes in the ledger that a request ended.
func (s *Server) finish(t *saddlewire.Ticket, answer *fireflysaddle.Answer) {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	s.ledger.Finish(fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()), answer)
}

// refuse notes in the ledger that a request was not run.
func (s *Server) refuse(t *saddlewire.Ticket) {
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	s.ledger.Refuse(fireflysaddle.RequestID(t.GetRequest()), fireflysaddle.Attempt(t.GetAttempt()))
}

func demand(now time.Time, t *saddlewire.Ticket, tokens int) fireflysaddle.Demand {
	return fireflysaddle.Demand{
		Request:   fireflysaddle.RequestID(t.GetRequest()),
		Workspace: fireflysaddle.Workspace(t.GetWorkspace()),
		Weight:    t.GetWeight(),
		Priority:  fireflysaddle.Priority(t.GetPriority()),
		Tokens:    tokens,
		Deadline:  now.Add(budget(t)),
	}
}

func budget(t *saddlewire.Ticket) time.Duration {
	return time.Duration(t.GetBudgetMs()) * time.Millisecond
}

func refused(code fireflysaddle.Code, format string, args ...any) *fireflysaddle.RefusedError {
	return &fireflysaddle.RefusedError{Code: code, Message: fmt.Sprintf(format, args...)}
}
