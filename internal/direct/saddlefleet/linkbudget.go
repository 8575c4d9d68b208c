package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// maxLinkUtilisation is the fraction of the link between data centres that requests
	// may use. Transfers queue one behind another, so near the full rate every request
	// that crosses between data centres is late.
	maxLinkUtilisation = 0.5
	// linkBurst sets the size of the token bucket, which holds the bytes that accrue in
	// this time.
	linkBurst = 300 * time.Millisecond
)

// linkBudget is a token bucket for the bytes that this entry's requests send between data
// centres. Each entry has an equal share of the link.
type linkBudget struct {
	availableBytes float64 // negative after a request larger than what was left
	refilledAt     time.Time
}

// refill adds the bytes that have accrued since the last refill, up to linkBurst.
func (l *linkBudget) refill(now time.Time, model *saddlerouting.Model, entries int) {
	rate := model.LinkBytesPerSecond * maxLinkUtilisation / float64(max(1, entries))
	if l.refilledAt.IsZero() {
		l.availableBytes = rate * linkBurst.Seconds()
	} else {
		l.availableBytes = min(l.availableBytes+rate*now.Sub(l.refilledAt).Seconds(), rate*linkBurst.Seconds())
	}
	l.refilledAt = now
}

// allows reports whether a request may cross between data centres now. It returns true if
// the capacity of the link is not known.
func (l *linkBudget) allows(now time.Time, model *saddlerouting.Model, entries int) bool {
	if model.LinkBytesPerSecond <= 0 {
		return true
	}
	l.refill(now, model, entries)
	return l.availableBytes > 0
}

// spend deducts the bytes that a request sends over its crossings between data centres.
func (l *linkBudget) spend(model *saddlerouting.Model, tokens, crossings int) {
	l.availableBytes -= float64(tokens) * model.ActivationBytes * float64(crossings)
}
