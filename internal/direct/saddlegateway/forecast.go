package saddlegateway

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

// firstForecast is when the first event of an attempt is expected, counted from its send.
type firstForecast struct {
	expected time.Duration // 0: nothing is known
	idle     time.Duration // if the engines run nothing else
}

// forecastFirst predicts the first event of an attempt on a chain that begins now.
func (j *job) forecastFirst(now time.Time, chain saddlefleet.Chain) {
	if !j.ranked || j.sends != 1 || j.held {
		return
	}
	j.forecast.idle = j.cfg.Fleet.IdleFirstEvent(chain, j.call.PromptTokens)
	a := j.admissions.of(j.Gateway, j.pool.Group)
	a.mu.Lock()
	defer a.mu.Unlock()
	j.forecast.expected = a.forecast.Expect(now, j.call.PromptTokens)
}

// recordFirst compares the first event of the call with its forecast. That of a further attempt
// says nothing about the engines of the first one.
func (j *job) recordFirst(now time.Time) {
	if !j.ranked || j.sends != 1 || j.held {
		return
	}
	seen := now.Sub(j.attemptSentAt)
	if j.forecast.expected > 0 {
		observeForecast(j.forecast.expected, seen)
	}
	a := j.admissions.of(j.Gateway, j.pool.Group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forecast.Seen(now, j.call.PromptTokens, j.forecast.idle, seen)
}
