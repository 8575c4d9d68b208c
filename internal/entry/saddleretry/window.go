package saddleretry

import "time"

// Window limits the retries in a sliding window of time to a share of the first
// attempts in that window plus a reserve. Unlike a Budget it allows the whole share
// to be used at once, for example when an engine with many streams is lost. It is
// not safe for concurrent use.
type Window struct {
	share   float64
	reserve float64
	span    time.Duration
	slots   []slot // oldest first

	granted      int // retries beyond the share that are still unused
	grantedUntil time.Time
}

// slot counts the attempts in one part of the span.
type slot struct {
	start         time.Time
	firstAttempts int
	retries       int
}

// slotsPerSpan is the resolution of the window.
const slotsPerSpan = 100

// NewWindow returns an empty window.
func NewWindow(share, reserve float64, span time.Duration) *Window {
	return &Window{share: share, reserve: reserve, span: span}
}

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) { w.currentSlot(now).firstAttempts++ }

// Grant allows n retries beyond the share until the given time. It replaces an
// earlier grant.
func (w *Window) Grant(n int, until time.Time) {
	w.granted = n
	w.grantedUntil = until
}

// TakeRetry takes one retry from the share and reserve, or else from the grant. It
// returns false when both are exhausted.
func (w *Window) TakeRetry(now time.Time) bool {
	current := w.currentSlot(now)
	first, retries := 0, 0
	for _, s := range w.slots {
		first += s.firstAttempts
		retries += s.retries
	}
	if float64(retries+1) <= w.reserve+w.share*float64(first) {
		current.retries++
		return true
	}
	if w.granted > 0 && now.Before(w.grantedUntil) {
		w.granted--
		return true
	}
	return false
}

// currentSlot returns the slot of the given time and removes the slots that are
// older than the span.
func (w *Window) currentSlot(now time.Time) *slot {
	expired := 0
	for expired < len(w.slots) && now.Sub(w.slots[expired].start) >= w.span+w.span/slotsPerSpan {
		expired++
	}
	w.slots = w.slots[expired:]
	if n := len(w.slots); n > 0 && now.Sub(w.slots[n-1].start) < w.span/slotsPerSpan {
		return &w.slots[n-1]
	}
	w.slots = append(w.slots, slot{start: now})
	return &w.slots[len(w.slots)-1]
}
