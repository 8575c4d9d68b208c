package saddleretry

// Budget lets retries be at most a share of the first attempts, with a reserve
// for times of little traffic. It is used under one lock.
type Budget struct {
	share   float64
	reserve float64
	tokens  float64
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

// RecordFirstAttempt notes a first attempt.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Left reports whether a retry is left.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// TakeRetry takes one retry; it reports false when the budget is spent.
func (b *Budget) TakeRetry() bool {
	if !b.Left() {
		return false
	}
	b.tokens--
	return true
}
