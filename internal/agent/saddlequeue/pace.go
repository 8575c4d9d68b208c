package saddlequeue

import (
	"math"
	"time"
)

// pace estimates the time that a slot takes for an estimated token.
type pace struct {
	seconds float64 // moving sum of the times
	tokens  float64 // moving sum of the tokens
	spread  float64 // moving average of the error of a prediction, as a share of it
}

const (
	paceMemory  = 0.9 // what is left of the sums at each further request
	priorTokens = 100 // weight of the announced rate
	safeSpreads = 1.5 // spreads added to a prediction that must hold
)

// newPace returns a pace of an announced rate in tokens a second, 0: unknown.
func newPace(rate float64) pace {
	if rate <= 0 {
		return pace{}
	}
	return pace{seconds: priorTokens / rate, tokens: priorTokens}
}

// note takes in the time that a request took.
func (p *pace) note(took time.Duration, tokens float64) {
	if predicted := p.of(tokens).Seconds(); predicted > 0 {
		off := min(math.Abs(took.Seconds()-predicted)/predicted, 1)
		p.spread = p.spread*paceMemory + off*(1-paceMemory)
	}
	p.seconds = p.seconds*paceMemory + took.Seconds()
	p.tokens = p.tokens*paceMemory + tokens
}

// of returns the predicted time of so many tokens in a slot, 0: unknown.
func (p *pace) of(tokens float64) time.Duration {
	if p.tokens == 0 {
		return 0
	}
	return time.Duration(tokens * p.seconds / p.tokens * float64(time.Second))
}

// safely returns a time within which so many tokens will most likely be done.
func (p *pace) safely(tokens float64) time.Duration {
	return time.Duration(float64(p.of(tokens)) * (1 + safeSpreads*p.spread))
}

// done returns the predicted tokens of one slot in a time, 0: unknown.
func (p *pace) done(in time.Duration) float64 {
	if p.seconds <= 0 {
		return 0
	}
	return in.Seconds() * p.tokens / p.seconds
}
