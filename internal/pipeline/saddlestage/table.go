package saddlestage

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// table holds the sessions of an agent. It is safe for concurrent use.
type table struct {
	mu       sync.Mutex
	sessions map[key]*session
}

func newTable() *table {
	return &table{sessions: map[key]*session{}}
}

// open adds a session.
func (t *table) open(k key, s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessions[k] = s
}

// accept takes in a step frame, opening the session at position 0. It returns
// a copy of the session.
func (t *table) accept(now time.Time, f *saddlewire.Frame, accepting bool) (session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{request: f.GetRequest(), attempt: f.GetAttempt()}
	s, ok := t.sessions[k]
	if !ok && (f.GetPosition() != 0 || len(f.GetChain()) <= int(f.GetIndex())) {
		return session{}, &fireflysaddle.PositionError{Request: fireflysaddle.RequestID(k.request), Got: fireflysaddle.Position(f.GetPosition())}
	}
	if !ok {
		if !accepting {
			return session{}, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving, Message: "the stage takes no new work"}
		}
		s = &session{
			chain:    f.GetChain(),
			index:    f.GetIndex(),
			priority: f.GetPriority(),
			expires:  now.Add(time.Duration(f.GetBudgetMs())*time.Millisecond + sessionTTL),
		}
		t.sessions[k] = s
	}
	if err := s.accept(k, f.GetPosition()); err != nil {
		return session{}, err
	}
	return *s, nil
}

// done notes a step that has run; it reports whether the session still stands.
func (t *table) done(k key, count uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if ok {
		s.done(count)
	}
	return ok
}

// close removes a session and returns it.
func (t *table) close(k key) (session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok {
		return session{}, false
	}
	delete(t.sessions, k)
	return *s, true
}

// get returns a copy of a session.
func (t *table) get(k key) (session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok {
		return session{}, false
	}
	return *s, true
}

// through returns the sessions whose next frame goes to an address.
func (t *table) through(address string) map[key]session {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[key]session{}
	for k, s := range t.sessions {
		if s.after().GetAddress() == address {
			out[k] = *s
		}
	}
	return out
}

// sweep drops the sessions that nobody closed.
func (t *table) sweep(now time.Time) []key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []key
	for k, s := range t.sessions {
		if now.After(s.expires) {
			delete(t.sessions, k)
			out = append(out, k)
		}
	}
	return out
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}
