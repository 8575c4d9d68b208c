package saddlegateway

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// callProgress is what the log line about a call that is about to be cut says. It is safe for
// concurrent use, because the goroutine that writes the line does not serve the call.
type callProgress struct {
	sends     atomic.Int64 // of the attempts that the caller waits for
	sentAt    atomic.Int64 // nanoseconds from the start of the call to its most recent send
	expected  atomic.Int64 // nanoseconds that the call was expected to take when the shutdown last compared it; 0: never
	events    atomic.Int64 // sent to the caller
	lastEvent atomic.Int64 // nanoseconds from the start of the call to the last of them
}

// recordSend records a send.
func (p *callProgress) recordSend(elapsed time.Duration) {
	p.sends.Add(1)
	p.sentAt.Store(int64(elapsed))
}

// recordEvent records an event that the caller has received.
func (p *callProgress) recordEvent(elapsed time.Duration) {
	p.events.Add(1)
	p.lastEvent.Store(int64(elapsed))
}

// log adds what is known to a line that is written when elapsed has passed since the call began.
func (p *callProgress) log(e *zerolog.Event, elapsed time.Duration) *zerolog.Event {
	e = e.Int64("sends", p.sends.Load()).Int64("sent_ms", time.Duration(p.sentAt.Load()).Milliseconds()).Int64("events", p.events.Load())
	if p.events.Load() > 0 {
		e = e.Int64("silent_ms", (elapsed - time.Duration(p.lastEvent.Load())).Milliseconds())
	}
	if expected := p.expected.Load(); expected > 0 {
		e = e.Int64("expected_ms", time.Duration(expected).Milliseconds())
	}
	return e
}
