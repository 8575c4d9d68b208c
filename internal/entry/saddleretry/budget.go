package saddleretry

// Budget is a token bucket that limits retries to a share of the first
// attempts, with a reserve for periods of low traffic. It is not safe for
// concurrent use.
type Budget struct {
	share   float64
	reserve float64
	tokens  float64
}

const (
	// DefaultShare is the number of retries earned by one first attempt.
	DefaultShare = 0.1
	// DefaultReserve is the maximum number of unused retries.
	DefaultReserve = 250
)

// NewBudget returns a budget with a full reserve.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: reserve}
}

// RecordFirstAttempt records a first attempt, which earns a share of a retry.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Available reports whether the budget has at least one retry.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// TakeRetry takes one retry. It returns false when the budget is exhausted.
func (b *Budget) TakeRetry() bool {
	if !b.Available() {
		return false
	}
	b.tokens--
	return true
}
