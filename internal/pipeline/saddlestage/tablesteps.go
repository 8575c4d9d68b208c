package saddlestage

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// begin notes that the head runs a step of its own; next notes its end.
func (t *table) begin(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.running = true
}

// next returns the next frame for a session's worker. Without one the worker
// ends; forget says that it must drop the engine's state first.
func (t *table) next(s *session) (f *saddlewire.Frame, forget bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.closed && s.failed == "" && len(s.inbox) > 0 {
		f = s.inbox[0]
		s.inbox[0] = nil
		s.inbox = s.inbox[1:]
		return f, false
	}
	s.running = false
	if !s.closed {
		return nil, false
	}
	close(s.ended)
	_, replaced := t.sessions[s.key]
	return nil, !replaced
}

// finish notes a step that was run and hands its outcome on.
func (t *table) finish(now time.Time, s *session, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.closed {
		return
	}
	s.done = o.end()
	s.accepted = max(s.accepted, s.done)
	t.keep(now, s, o)
}

// keep keeps an outcome and hands it on unless the receiver has it.
func (t *table) keep(now time.Time, s *session, o outcome) {
	s.outbox.add(o, &t.room)
	if s.last() {
		s.outbox.trim(o.position, &t.room) // a head waits for the last token only
	}
	if o.end() > s.resume {
		t.send(s.after().GetAddress(), s.frame(now, o))
	}
}

// fail notes that a session cannot go on; it reports whether that matters.
func (t *table) fail(s *session, reason string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.failed = reason
	return !s.closed
}
