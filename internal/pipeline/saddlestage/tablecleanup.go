package saddlestage

import (
	"time"
)

// sessionsSendingTo returns the sessions that send frames to an address.
func (t *table) sessionsSendingTo(address string) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.nextStage().GetAddress() == address {
			out = append(out, *s)
		}
	}
	return out
}

// idleSessions returns the sessions of stages after the head that have received
// no frame since the given time and have nothing to run.
func (t *table) idleSessions(since time.Time) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.index > 0 && !s.busy() && s.lastFrameAt.Before(since) {
			out = append(out, *s)
		}
	}
	return out
}

// recordHeadPing records the result of a ping to the head of an idle session.
// It reports whether the session is an orphan.
func (t *table) recordHeadPing(k key, answered, known bool) (orphan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok || s.busy() {
		return false
	}
	if answered {
		s.unansweredPings = 0
		return !known
	}
	s.unansweredPings++
	return s.unansweredPings >= maxUnansweredPings
}

// expired returns the expired sessions. It also removes the expired entries of
// closed attempts.
func (t *table) expired(now time.Time) []key {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, until := range t.closedUntil {
		if now.After(until) {
			delete(t.closedUntil, k)
		}
	}
	var out []key
	for k, s := range t.sessions {
		if now.After(s.expires) {
			out = append(out, k)
		}
	}
	return out
}
