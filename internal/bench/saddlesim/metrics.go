package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
)

// Metrics holds the results of a run, measured after its warm-up. Only affected
// requests are counted during the warm-up too. A request is affected if one of its
// attempts failed because the target was lost.
type Metrics struct {
	FirstTokenLatency  *saddlereport.DurationHistogram // from the request to the first token of a draft
	InterTokenLatency  *saddlereport.DurationHistogram // between consecutive tokens of a draft
	ServiceCallLatency *saddlereport.DurationHistogram // latency of service calls

	Requests int // sent after the warm-up
	Attempts int // sent after the warm-up
	Answered int
	Refused  int
	Failed   int
	OnTime   int // answered within the caller's timeout

	FirstRecovery       time.Duration // time from the first fault to the first answer of an affected request
	LastRecovery        time.Duration // time from the first fault to the latest answer of an affected request
	Affected            int           // number of affected requests
	AffectedNotAnswered int           // affected requests that were refused or failed

	generatedTokens        float64
	sharedTokens           int // prompt tokens in shared prefixes
	hitTokens              int // those of sharedTokens that were found in prefix caches
	clock                  *Clock
	windowStart, windowEnd time.Time
	firstFault             time.Time
}

func newMetrics(clock *Clock, cfg Config) *Metrics {
	m := &Metrics{
		FirstTokenLatency:  saddlereport.NewDurationHistogram(),
		InterTokenLatency:  saddlereport.NewDurationHistogram(),
		ServiceCallLatency: saddlereport.NewDurationHistogram(),
		clock:              clock,
		windowStart:        runStart.Add(cfg.Warmup),
		windowEnd:          runStart.Add(cfg.Duration),
	}
	if len(cfg.Faults) > 0 {
		m.firstFault = runStart.Add(cfg.Faults[0].At)
	}
	return m
}

// TokensPerSecond returns the tokens per second that all engines generated
// together.
func (m *Metrics) TokensPerSecond() float64 {
	return m.generatedTokens / m.windowEnd.Sub(m.windowStart).Seconds()
}

// CacheHitRatio returns the fraction of the shared prompt tokens that were found
// in prefix caches.
func (m *Metrics) CacheHitRatio() float64 {
	return float64(m.hitTokens) / float64(max(m.sharedTokens, 1))
}

// AttemptsPerRequest returns the mean number of attempts per request.
func (m *Metrics) AttemptsPerRequest() float64 {
	return float64(m.Attempts) / float64(max(m.Requests, 1))
}

func (m *Metrics) measuring() bool {
	now := m.clock.Now()
	return !now.Before(m.windowStart) && now.Before(m.windowEnd)
}

func (m *Metrics) countRequest() {
	if m.measuring() {
		m.Requests++
	}
}

func (m *Metrics) countAttempt() {
	if m.measuring() {
		m.Attempts++
	}
}

func (m *Metrics) countHitTokens(tokens int) {
	if m.measuring() {
		m.hitTokens += tokens
	}
}

func (m *Metrics) countSharedTokens(tokens int) {
	if m.measuring() {
		m.sharedTokens += tokens
	}
}

func (m *Metrics) recordInterTokenLatency(d time.Duration, count int) {
	if m.measuring() && count > 0 {
		m.InterTokenLatency.Add(d, count)
	}
}

// countGeneratedTokens counts the tokens that an attempt generated until the
// given time, limited to the measurement window.
func (m *Metrics) countGeneratedTokens(a *attempt, until time.Time) {
	from := laterOf(a.firstTokenAt.Add(-seconds(1/a.rate)), m.windowStart)
	to := until
	if m.windowEnd.Before(to) {
		to = m.windowEnd
	}
	if to.After(from) {
		m.generatedTokens += to.Sub(from).Seconds() * a.rate
	}
}

func (m *Metrics) recordOutcome(j *Job, outcome Outcome, now time.Time) {
	if j.Affected {
		m.recordRecovery(outcome, now)
	}
	if j.sentAt.Before(m.windowStart) {
		return
	}
	switch outcome {
	case Answered:
		m.Answered++
		m.recordAnswer(j, now)
	case Refused:
		m.Refused++
	case Failed:
		m.Failed++
	}
}

func (m *Metrics) recordAnswer(j *Job, now time.Time) {
	if j.Request.Timeout == 0 || now.Sub(j.sentAt) <= j.Request.Timeout {
		m.OnTime++
	}
	if j.Request.ServiceCall {
		m.ServiceCallLatency.Add(now.Sub(j.sentAt), 1)
		return
	}
	m.FirstTokenLatency.Add(j.FirstTokenLatency, 1)
}

func (m *Metrics) recordRecovery(outcome Outcome, now time.Time) {
	m.Affected++
	if outcome != Answered {
		m.AffectedNotAnswered++
		return
	}
	elapsed := now.Sub(m.firstFault)
	if m.FirstRecovery == 0 {
		m.FirstRecovery = elapsed
	}
	m.LastRecovery = max(m.LastRecovery, elapsed)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
