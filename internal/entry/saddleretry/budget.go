package saddleretry

import "time"

// Budget lets retries be at most a share of the first attempts, with a reserve
// for times of little traffic. It is used under one lock.
type Budget struct {
	share   float64
	reserve float64
	tokens  float64

	granted float64 // beyond the share
	until   time.Time
}

const (
	// DefaultShare is the number of retries per first attempt.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that can be saved up.
	DefaultReserve = 250
)

// NewBudget returns a budget with a full reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: reserve}
}

// First notes a first attempt.
func (b *Budget) First() {
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Left reports whether a retry is left.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Grant adds retries beyond the share, which are kept until a time.
func (b *Budget) Grant(n int, until time.Time) {
	b.granted = float64(n)
	b.until = until
}

// RetryAt takes one retry, of those granted if there are any that are still good.
func (b *Budget) RetryAt(now time.Time) bool {
	if b.granted >= 1 && now.Before(b.until) {
		b.granted--
		return true
	}
	return b.Retry()
}

// Retry takes one retry; it reports false when the budget is spent.
func (b *Budget) Retry() bool {
	if !b.Left() {
		return false
	}
	b.tokens--
	return true
}
