package saddlegateway

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// streamRelay sends the events of one attempt to the caller. Only an event that the caller
// has not received is progress: comments, empty lines and other blocks without data are passed
// on, but begin no answer and leave the attempt as silent as it is.
type streamRelay struct {
	*job
	reply   *fireflysaddle.Reply
	watch   *watchdog
	further bool // an earlier attempt has begun the answer to the caller
	ids     attemptIDs
	rest    eventless
	kept    heldEvents
	// reserve takes memory for what is held. It is needed before the answer begins only: later
	// blocks are held no longer than they take to arrive.
	reserve  func(n int) error
	reserved int // bytes for which reserve was called
}

// receive records a block. It returns an error if the target sends too much without an event, or
// if the block does not continue the stream.
func (r *streamRelay) receive(e saddlesse.Event) error {
	repeated := r.alreadyDelivered(e.ID)
	switch advances := e.HasData && r.ids.advance(e.ID); {
	case e.HasData && !repeated:
		r.rest.bytes = 0
		r.watch.recordEvent()
		r.recordAttemptEvent()
	case advances: // an event that an earlier attempt has sent
		r.recordAttemptEvent()
	default:
		if err := r.rest.count(len(e.Raw)); err != nil {
			return err
		}
		if growth := r.rest.bytes - r.reserved; growth > 0 && !r.headerSent {
			if err := r.reserve(growth); err != nil {
				return err
			}
			r.reserved += growth
		}
	}
	if r.further && !repeated {
		return r.sequence.check(e)
	}
	if r.holds() {
		return r.reserve(len(e.Raw))
	}
	return nil
}

// holds reports whether blocks are kept until the answer is whole.
func (r *streamRelay) holds() bool { return r.held && !r.headerSent && !r.kept.whole }

// sendKept sends the blocks that were kept, because the answer is whole.
func (r *streamRelay) sendKept() error {
	r.kept.whole = true
	for _, e := range r.kept.blocks {
		if err := r.deliver(e, true); err != nil {
			return err
		}
	}
	return nil
}

// deliver sends a block to the caller, unless the caller has received it. A block without data
// is held until the answer has begun, and while further bytes have arrived.
func (r *streamRelay) deliver(e saddlesse.Event, buffered bool) error {
	switch {
	case r.holds():
		r.kept.add(e)
		return nil
	case r.alreadyDelivered(e.ID):
		return nil
	case e.HasData:
		if err := r.writeEvent(e); err != nil {
			return err
		}
		r.watch.recordDelivery(r.lastEventID)
		return nil
	}
	if r.rest.hold(e); !r.headerSent || buffered {
		return nil
	}
	return r.writeHeld()
}

// end sends what is left at the end of the body to the caller, and ends the call.
func (r *streamRelay) end(e saddlesse.Event) (ended bool, failure string) {
	if r.watch.hasEvent.Load() {
		r.watch.recordEvent()
	}
	if err := r.sendKept(); err != nil {
		return r.endUndelivered(err)
	}
	r.rest.hold(e)
	if err := r.writeHeld(); err != nil {
		return r.endUndelivered(err)
	}
	return r.endStream(r.reply)
}

// writeEvent sends an event to the caller, after what is held before it.
func (r *streamRelay) writeEvent(e saddlesse.Event) error {
	raw := e.Raw
	if len(r.rest.held) > 0 {
		raw = slices.Concat(r.rest.held, e.Raw)
	}
	if err := r.write(raw); err != nil {
		return err
	}
	now := time.Now()
	if r.eventsSent > 0 {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	} else {
		r.firstByteAt = now
		r.recordFirst(now)
	}
	r.eventsSent++
	r.lastEventAt = now
	r.progress.recordEvent(now.Sub(r.startTime))
	r.recordHeldSent()
	r.sequence.record(e)
	if e.ID != "" {
		r.lastEventID = e.ID
	}
	return nil
}

// writeHeld sends what is held to the caller.
func (r *streamRelay) writeHeld() error {
	if len(r.rest.held) == 0 {
		return nil
	}
	if err := r.write(r.rest.held); err != nil {
		return err
	}
	r.recordHeldSent()
	return nil
}

// recordHeldSent records that the caller has received what was held.
func (r *streamRelay) recordHeldSent() {
	if r.rest.release() {
		r.sequence.withoutData = true
	}
}

// write sends part of a stream to the caller, and begins the answer if it has not begun.
func (r *streamRelay) write(raw []byte) error {
	if !r.headerSent {
		if !r.claimAnswer() && !r.kept.whole {
			return errProcessEnding
		}
		r.headerSent = true
		if err := r.responder.Begin(r.reply); err != nil {
			return err
		}
	}
	return r.responder.Write(raw)
}
