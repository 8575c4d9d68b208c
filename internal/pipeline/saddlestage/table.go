package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// table holds the sessions of an agent. It is safe for concurrent use. Its
// methods send under its lock, so that frames of one session leave in order.
type table struct {
	ctx  context.Context
	send func(address string, f *saddlewire.Frame) // never calls back

	mu       sync.Mutex
	sessions map[key]*session
	closed   map[key]time.Time // attempts that may not begin anew, until then
	room     room
}

func newTable(ctx context.Context, bytes int64, send func(string, *saddlewire.Frame)) *table {
	return &table{
		ctx:      ctx,
		send:     send,
		sessions: map[key]*session{},
		closed:   map[key]time.Time{},
		room:     room{left: bytes},
	}
}

// open adds a session for a frame that introduces its attempt.
func (t *table) open(now time.Time, f *saddlewire.Frame) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{
		key:      keyOf(f),
		chain:    f.GetChain(),
		index:    f.GetIndex(),
		priority: f.GetPriority(),
		expires:  now.Add(time.Duration(f.GetBudgetMs())*time.Millisecond + sessionTTL),
		heard:    now,
		repair:   f.GetRepair(),
		upstream: f.GetRepair(),
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
	}
	t.sessions[s.key] = s
	return s
}

// openHead adds the session of the head of a chain.
func (t *table) openHead(now time.Time, d Draft) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open(now, &saddlewire.Frame{
		Request:  d.Request,
		Attempt:  d.Attempt,
		Chain:    d.Chain,
		Priority: d.Priority,
		BudgetMs: d.Budget.Milliseconds(),
	})
}

// step takes in a step frame, opening the session at position 0. It returns
// the session whose worker must be started, if any.
func (t *table) step(now time.Time, f *saddlewire.Frame, accepting bool) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok {
		if err := t.mayOpen(f, accepting); err != nil {
			return nil, err
		}
		s = t.open(now, f)
	}
	s.heard = now
	s.learn(f)
	accepted, err := s.accept(f)
	if err != nil {
		return nil, err
	}
	if !accepted {
		countDuplicates.Add(1)
		return nil, nil
	}
	return t.enqueue(s, f), nil
}

// mayOpen returns why a step frame cannot open a session.
func (t *table) mayOpen(f *saddlewire.Frame, accepting bool) error {
	if _, ok := t.closed[keyOf(f)]; ok {
		return refusedStage("the attempt was closed here")
	}
	if f.GetPosition() != 0 || f.GetIndex() == 0 || len(f.GetChain()) <= int(f.GetIndex()) {
		return &fireflysaddle.PositionError{
			Request: fireflysaddle.RequestID(f.GetRequest()),
			Got:     fireflysaddle.Position(f.GetPosition()),
		}
	}
	if !accepting {
		return refusedStage("the stage takes no new work")
	}
	return nil
}

func refusedStage(message string) error {
	return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving, Message: message}
}

// enqueue hands a frame to the session's worker; it returns the session when
// the worker must be started.
func (t *table) enqueue(s *session, f *saddlewire.Frame) *session {
	s.inbox = append(s.inbox, f)
	if s.running {
		return nil
	}
	s.running = true
	return s
}

// close removes a session, so that its attempt cannot begin anew. It returns
// the session if its engine's state must be dropped by the caller.
func (t *table) close(now time.Time, k key) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed[k] = now.Add(closedTTL)
	s, ok := t.sessions[k]
	if !ok {
		return nil
	}
	delete(t.sessions, k)
	t.end(s)
	if s.running {
		return nil // its worker does
	}
	return s
}

// end ends a session whose worker may still run.
func (t *table) end(s *session) {
	s.closed = true
	s.cancel()
	s.inbox = nil
	s.outbox.clear(&t.room)
	if !s.running {
		close(s.ended)
	}
}

// view returns a copy of a session's state.
func (t *table) view(k key) (session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok {
		return session{}, false
	}
	out := *s
	out.running = s.busy()
	return out, true
}

// mayBegin reports whether an attempt was not closed here.
func (t *table) mayBegin(k key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.closed[k]
	return !ok
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}
