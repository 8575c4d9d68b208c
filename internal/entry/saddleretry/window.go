package saddleretry

import "time"

// Window limits the retries in a sliding window of time to a share of the first
// attempts in that window plus a reserve. Unlike a Budget it allows the whole share
// to be used at once, for example when an engine with many streams is lost. It is
// not safe for concurrent use.
type Window struct {
	share     float64
	reserve   float64
	span      time.Duration
	intervals []interval // oldest first

	granted      int // unused retries of the grant
	grantedUntil time.Time
}

// interval counts the attempts in one of the equal parts of the span.
type interval struct {
	start         time.Time
	firstAttempts int
	retries       int
}

// intervalsPerSpan is the number of intervals in a span. Attempts leave the window one
// interval at a time.
const intervalsPerSpan = 100

// NewWindow returns an empty window.
func NewWindow(share, reserve float64, span time.Duration) *Window {
	return &Window{share: share, reserve: reserve, span: span}
}

// SetLimits replaces the share and the reserve. Attempts that were recorded still count.
func (w *Window) SetLimits(share, reserve float64) { w.share, w.reserve = share, reserve }

// RecordFirstAttempt records a first attempt.
func (w *Window) RecordFirstAttempt(now time.Time) { w.currentInterval(now).firstAttempts++ }

// Grant allows n retries beyond the share and the reserve until the given time. It
// replaces an earlier grant. Granted retries do not count against the share.
func (w *Window) Grant(n int, until time.Time) {
	w.granted = n
	w.grantedUntil = until
}

// TakeRetry takes one retry from the share and reserve, or else from the grant. It
// returns false when both are exhausted.
func (w *Window) TakeRetry(now time.Time) bool {
	current := w.currentInterval(now)
	firstAttempts, retries := 0, 0
	for _, iv := range w.intervals {
		firstAttempts += iv.firstAttempts
		retries += iv.retries
	}
	if float64(retries+1) <= w.reserve+w.share*float64(firstAttempts) {
		current.retries++
		return true
	}
	if w.granted > 0 && now.Before(w.grantedUntil) {
		w.granted--
		return true
	}
	return false
}

// currentInterval returns the interval of the given time and removes the intervals
// that lie entirely before the span.
func (w *Window) currentInterval(now time.Time) *interval {
	expired := 0
	for expired < len(w.intervals) && now.Sub(w.intervals[expired].start) >= w.span+w.span/intervalsPerSpan {
		expired++
	}
	w.intervals = w.intervals[expired:]
	if n := len(w.intervals); n > 0 && now.Sub(w.intervals[n-1].start) < w.span/intervalsPerSpan {
		return &w.intervals[n-1]
	}
	w.intervals = append(w.intervals, interval{start: now})
	return &w.intervals[len(w.intervals)-1]
}
