package saddleentry

import "time"

// pace measures how fast the tokens of one attempt come.
type pace struct {
	first  time.Time
	last   time.Time
	tokens int
}

// minPaceTokens is the number of tokens below which a pace says too little.
const minPaceTokens = 8

// token notes a token.
func (p *pace) token(now time.Time) {
	if p.tokens == 0 {
		p.first = now
	}
	p.tokens++
	p.last = now
}

// due reports whether the rate is to be passed on: after the first tokens that
// say enough and each time that their number has doubled.
func (p *pace) due() bool {
	return p.tokens >= minPaceTokens && p.tokens&(p.tokens-1) == 0
}

// rate returns the tokens a second from the first token on, 0: unknown.
func (p *pace) rate() float64 {
	took := p.last.Sub(p.first).Seconds()
	if p.tokens < minPaceTokens || took <= 0 {
		return 0
	}
	return float64(p.tokens-1) / took
}
