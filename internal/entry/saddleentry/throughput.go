package saddleentry

import "time"

// throughput measures the token rate of one attempt.
type throughput struct {
	firstAt time.Time
	lastAt  time.Time
	tokens  int
}

// minRateTokens is the number of tokens below which the rate is not meaningful.
const minRateTokens = 8

// add counts a token that arrived at now.
func (t *throughput) add(now time.Time) {
	if t.tokens == 0 {
		t.firstAt = now
	}
	t.tokens++
	t.lastAt = now
}

// shouldReport reports whether the rate is due to be reported to the router: after
// the first minRateTokens tokens and each time their number has doubled.
func (t *throughput) shouldReport() bool {
	return t.tokens >= minRateTokens && t.tokens&(t.tokens-1) == 0
}

// rate returns the tokens per second since the first token, or 0 if unknown.
func (t *throughput) rate() float64 {
	elapsed := t.lastAt.Sub(t.firstAt).Seconds()
	if t.tokens < minRateTokens || elapsed <= 0 {
		return 0
	}
	return float64(t.tokens-1) / elapsed
}
