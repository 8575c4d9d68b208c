package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// lineUsed is the part of the line between data centres that drafts are planned
	// for: a transfer waits for all before it, so that near the whole rate every
	// draft that crosses is late.
	lineUsed = 0.5
	// lineBurst is the time for which the line may be used ahead.
	lineBurst = 300 * time.Millisecond
)

// line bounds what this entry's drafts send between data centres: an even part of
// what the line carries.
type line struct {
	level float64 // bytes that may be sent now; below 0 after a draft that was larger
	at    time.Time
}

// refill lets time pass.
func (l *line) refill(now time.Time, model *saddlerouting.Model, entries int) {
	rate := model.LinkBytesPerSecond * lineUsed / float64(max(1, entries))
	if l.at.IsZero() {
		l.level = rate * lineBurst.Seconds()
	} else {
		l.level = min(l.level+rate*now.Sub(l.at).Seconds(), rate*lineBurst.Seconds())
	}
	l.at = now
}

// open reports whether a draft may cross between data centres.
func (l *line) open(now time.Time, model *saddlerouting.Model, entries int) bool {
	if model.LinkBytesPerSecond <= 0 {
		return true
	}
	l.refill(now, model, entries)
	return l.level > 0
}

// take notes a draft that crosses a number of times.
func (l *line) take(model *saddlerouting.Model, tokens, crossings int) {
	l.level -= float64(tokens) * model.ActivationBytes * float64(crossings)
}
