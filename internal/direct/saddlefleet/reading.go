package saddlefleet

import (
	"expvar"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlereading"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// BeginReading records that the engines of a chain read a prompt. objective is that of the
// request's route for the first event. end must be called at the first event, or when the
// attempt has ended without one.
//
// Only this entry's own prompts are known. Those of the other entries are independent of
// them and last for a fraction of a second, so they add the same to the estimate for each
// engine and do not change which one is preferred.
func (f *Fleet) BeginReading(now time.Time, c Chain, prompt int, objective time.Duration) (end func(now time.Time)) {
	if c.reserved == nil || prompt <= 0 {
		return func(time.Time) {}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	model := c.reserved.model
	parts := c.reserved.parts // Repair replaces the slice and leaves this one as it is
	times := make([]time.Duration, len(parts))
	var total time.Duration
	for i, p := range parts {
		times[i] = p.prefillTime(model, prompt)
		total += times[i]
		addReadingTokens(p.target.Address, prompt)
	}
	var reads []saddlereading.Read
	if saddlereading.Long(total, objective) {
		countLongReads.Add(1)
		f.log.Info().Str("head", c.Head.Address).Int("prompt_tokens", prompt).Int64("read_ms", total.Milliseconds()).
			Int64("objective_ms", objective.Milliseconds()).Msg("engines read a long prompt")
		for i, p := range parts {
			reads = append(reads, p.target.backlog.Add(now, times[i]))
		}
	}
	var once sync.Once
	return func(now time.Time) {
		once.Do(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			for i, p := range parts {
				addReadingTokens(p.target.Address, -prompt)
				if reads != nil {
					p.target.backlog.End(now, reads[i])
				}
			}
		})
	}
}

// prefillTime returns the time in which the engine of a stage reads a prompt.
func (p part) prefillTime(model *saddlerouting.Model, prompt int) time.Duration {
	acc := model.Accelerators[fireflysaddle.Accelerator(p.target.reg.GetAccelerator())]
	return time.Duration(float64(model.PrefillTime(acc, p.to-p.from, prompt)) * p.target.stepTimeFactor)
}

// addReadingTokens changes the counter of an engine. The counters of idle engines are removed,
// because the addresses change over time. f.mu must be held.
func addReadingTokens(address string, tokens int) {
	readingTokens.Add(address, int64(tokens))
	if n, ok := readingTokens.Get(address).(*expvar.Int); ok && n.Value() == 0 {
		readingTokens.Delete(address)
	}
}
