package saddleretry

import "time"

// Window bounds the retries of any span of a fixed length to a share of the first
// attempts of that span and a reserve. Unlike a Budget it lets all of the share be
// used at once, as when an engine with many streams is lost. It is used under one
// lock.
type Window struct {
	share   float64
	reserve float64
	span    time.Duration
	slots   []slot // the latest last

	granted int // beyond the share
	until   time.Time
}

// slot counts the attempts of a part of the span.
type slot struct {
	began   time.Time
	first   int
	retries int
}

// slots is the number of parts of a span that are counted each for itself.
const slots = 100

// NewWindow returns a window without attempts.
func NewWindow(share, reserve float64, span time.Duration) *Window {
	return &Window{share: share, reserve: reserve, span: span}
}

// RecordFirstAttempt notes a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) { w.at(now).first++ }

// Grant adds retries beyond the share, in place of those granted before, which are
// kept until a time.
func (w *Window) Grant(n int, until time.Time) {
	w.granted = n
	w.until = until
}

// TakeRetry takes one retry, of the share or else of those granted. It reports false when
// none is left.
func (w *Window) TakeRetry(now time.Time) bool {
	at := w.at(now)
	first, retries := 0, 0
	for _, s := range w.slots {
		first += s.first
		retries += s.retries
	}
	if float64(retries+1) <= w.reserve+w.share*float64(first) {
		at.retries++
		return true
	}
	if w.granted > 0 && now.Before(w.until) {
		w.granted--
		return true
	}
	return false
}

// at returns the slot of the present and forgets those that are older than the span.
func (w *Window) at(now time.Time) *slot {
	old := 0
	for old < len(w.slots) && now.Sub(w.slots[old].began) >= w.span+w.span/slots {
		old++
	}
	w.slots = w.slots[old:]
	if n := len(w.slots); n > 0 && now.Sub(w.slots[n-1].began) < w.span/slots {
		return &w.slots[n-1]
	}
	w.slots = append(w.slots, slot{began: now})
	return &w.slots[len(w.slots)-1]
}
