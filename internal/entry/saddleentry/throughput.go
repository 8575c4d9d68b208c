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
func (p *throughput) add(now time.Time) {
	if p.tokens == 0 {
		p.firstAt = now
	}
	p.tokens++
	p.lastAt = now
}

// shouldReport reports whether the rate is due to be reported to the router: after
// the first minRateTokens tokens and each time their number has doubled.
func (p *throughput) shouldReport() bool {
	return p.tokens >= minRateTokens && p.tokens&(p.tokens-1) == 0
}

// rate returns the tokens per second since the first token, or 0 if unknown.
func (p *throughput) rate() float64 {
	elapsed := p.lastAt.Sub(p.firstAt).Seconds()
	if p.tokens < minRateTokens || elapsed <= 0 {
		return 0
	}
	return float64(p.tokens-1) / elapsed
}
