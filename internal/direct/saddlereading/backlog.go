package saddlereading

import "time"

// Backlog is the reading of long prompts at one engine. Its zero value is empty. It drains
// with time, so a read whose end is never reported has no effect after its predicted end.
type Backlog struct {
	until time.Time // predicted end of all reads
}

// Read is one long prompt at an engine.
type Read struct {
	end time.Time // predicted
}

// Add adds a prompt that the engine reads for the duration d, after those before it.
func (b *Backlog) Add(now time.Time, d time.Duration) Read {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(d)
	return Read{end: b.until}
}

// End records that the engine has ended a read. The later reads end earlier than predicted by as
// much as this one. A read that ends late moves nothing: the engine is slow for a reason
// that is not known here.
func (b *Backlog) End(now time.Time, r Read) {
	if early := r.end.Sub(now); early > 0 {
		b.until = b.until.Add(-early)
	}
}

// Delay returns how long the next prompt waits.
func (b *Backlog) Delay(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
