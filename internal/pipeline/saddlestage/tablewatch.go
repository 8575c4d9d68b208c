package saddlestage

import (
	"time"
)

// around returns the sessions that send frames to an address.
func (t *table) around(address string) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.after().GetAddress() == address {
			out = append(out, *s)
		}
	}
	return out
}

// quiet returns the later stages' sessions that heard nothing since a time
// and have nothing to run.
func (t *table) quiet(since time.Time) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.index > 0 && !s.busy() && s.heard.Before(since) {
			out = append(out, *s)
		}
	}
	return out
}

// asked notes what the head of a quiet session answered; it reports whether
// the session is an orphan.
func (t *table) asked(k key, answered, known bool) (orphan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok || s.busy() {
		return false
	}
	if answered {
		s.misses = 0
		return !known
	}
	s.misses++
	return s.misses >= orphanProbes
}

// expired returns the sessions past their time, and forgets the closed
// attempts past theirs.
func (t *table) expired(now time.Time) []key {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, until := range t.closed {
		if now.After(until) {
			delete(t.closed, k)
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
