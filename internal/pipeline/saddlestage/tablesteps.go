package saddlestage

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// beginHeadStep marks the head's session as running until nextFrame is called.
func (t *table) beginHeadStep(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.running = true
}

// nextFrame returns the next frame for a session's worker. If f is nil the
// worker must end; cancelEngine tells it to release the engine's state first.
func (t *table) nextFrame(s *session) (f *saddlewire.Frame, cancelEngine bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.closed && s.failure == "" && len(s.inbox) > 0 {
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

// completeStep records a completed step and sends its output.
func (t *table) completeStep(now time.Time, s *session, o stepOutput) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.closed {
		return
	}
	s.completed = o.end()
	s.accepted = max(s.accepted, s.completed)
	t.storeOutput(now, s, o)
}

// storeOutput stores an output and sends it unless the receiver already has it.
func (t *table) storeOutput(now time.Time, s *session, o stepOutput) {
	s.outbox.add(o, &t.memoryBudget)
	if s.isLast() {
		s.outbox.trim(o.position, &t.memoryBudget) // the head only ever needs the last token
	}
	if o.end() > s.resumeFrom {
		t.send(s.nextStage().GetAddress(), s.outputFrame(now, o))
	}
}

// recordFailure records that a session cannot continue. It returns false if the
// session is already closed.
func (t *table) recordFailure(s *session, reason string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.failure = reason
	return !s.closed
}
