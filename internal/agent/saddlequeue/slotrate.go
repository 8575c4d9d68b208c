package saddlequeue

import (
	"math"
	"time"
)

// slotRate estimates the tokens per second that one slot processes, from the
// estimated tokens and the service times of finished requests.
type slotRate struct {
	seconds       float64 // exponentially decaying sum of service times
	tokens        float64 // exponentially decaying sum of tokens
	relativeError float64 // moving average of the prediction error, as a fraction of the prediction
}

const (
	rateDecay        = 0.9 // factor by which the sums and the error average decay with each finished request
	priorTokens      = 100 // weight of the announced rate, in tokens
	boundErrorFactor = 1.5 // multiple of the relative error that timeBound adds to a prediction
)

// newSlotRate returns an estimate that starts from an announced rate in tokens per
// second. A rate of 0 is unknown.
func newSlotRate(rate float64) slotRate {
	if rate <= 0 {
		return slotRate{}
	}
	return slotRate{seconds: priorTokens / rate, tokens: priorTokens}
}

// record updates the estimate with the service time of a finished request.
func (r *slotRate) record(serviceTime time.Duration, tokens float64) {
	if predicted := r.timeFor(tokens).Seconds(); predicted > 0 {
		relativeError := min(math.Abs(serviceTime.Seconds()-predicted)/predicted, 1)
		r.relativeError = r.relativeError*rateDecay + relativeError*(1-rateDecay)
	}
	r.seconds = r.seconds*rateDecay + serviceTime.Seconds()
	r.tokens = r.tokens*rateDecay + tokens
}

// timeFor returns the predicted time that one slot needs for the given number of
// tokens, or 0 when the rate is unknown.
func (r *slotRate) timeFor(tokens float64) time.Duration {
	if r.tokens == 0 {
		return 0
	}
	return time.Duration(tokens * r.seconds / r.tokens * float64(time.Second))
}

// timeBound returns a time within which one slot is likely to have processed the
// given number of tokens. Deadlines are checked against it.
func (r *slotRate) timeBound(tokens float64) time.Duration {
	return time.Duration(float64(r.timeFor(tokens)) * (1 + boundErrorFactor*r.relativeError))
}

// tokensIn returns the predicted tokens that one slot processes in d, or 0 when
// the rate is unknown.
func (r *slotRate) tokensIn(d time.Duration) float64 {
	if r.seconds <= 0 {
		return 0
	}
	return d.Seconds() * r.tokens / r.seconds
}
