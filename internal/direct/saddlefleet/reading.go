package saddlefleet

import (
	"expvar"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlereading"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// BeginReading records that the engines of a chain read a prompt. end must be called at the first
// event, or when the attempt has ended without one.
func (f *Fleet) BeginReading(c Chain, prompt int) (end func()) {
	if c.reserved == nil || prompt <= 0 {
		return func() {}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	model, parts := c.reserved.model, c.reserved.parts // Repair replaces the slice and leaves this one as it is
	times := make([]time.Duration, len(parts))
	for i, p := range parts {
		times[i] = p.prefillTime(model, prompt)
		p.target.reading += times[i]
		addReadingTokens(p.target.Address, prompt)
	}
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, p := range parts {
			p.target.reading -= times[i]
			addReadingTokens(p.target.Address, -prompt)
		}
	})
}

// prefillTime returns the time in which the engine of a stage reads a prompt.
func (p part) prefillTime(model *saddlerouting.Model, prompt int) time.Duration {
	acc := model.Accelerators[fireflysaddle.Accelerator(p.target.reg.GetAccelerator())]
	return time.Duration(float64(model.PrefillTime(acc, p.to-p.from, prompt)) * p.target.stepTimeFactor)
}

// readingCost returns the cost in ns of the prompts that an engine is reading, and logs when it
// begins and ends.
func (f *Fleet) readingCost(t *target, objective time.Duration) float64 {
	entries := f.peerEntryCounts[t.Centre] + 1
	excess := saddlereading.Excess(t.reading, entries, objective)
	if delayed := excess > 0; delayed != t.delayed {
		t.delayed = delayed
		message := "prompts in reading no longer delay an engine"
		if delayed {
			countDelays.Add(1)
			message = "prompts in reading delay an engine: others are preferred"
		}
		f.log.Info().Str("address", t.Address).Int64("reading_ms", t.reading.Milliseconds()).Int("entries", entries).
			Int64("objective_ms", objective.Milliseconds()).Msg(message)
	}
	return float64(excess)
}

// addReadingTokens changes the counter of an engine. The counters of idle engines are removed,
// because the addresses change over time. f.mu must be held.
func addReadingTokens(address string, tokens int) {
	readingTokens.Add(address, int64(tokens))
	if n, ok := readingTokens.Get(address).(*expvar.Int); ok && n.Value() == 0 {
		readingTokens.Delete(address)
	}
}
