package saddlegateway

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// maxEventlessBytes bounds what a target sends between two events. Ten comments of ten bytes a
// second take eleven minutes to reach it.
const maxEventlessBytes = 64 << 10

// eventless holds the comments, empty lines and other blocks without data that an attempt has
// received since its last event. They are sent with the next event, or earlier if the answer to
// the caller has begun.
type eventless struct {
	bytes     int    // received since the last event
	held      []byte // not sent to the caller yet
	hasFields bool   // of what is held
}

// count records that n bytes carried no event to the caller.
func (b *eventless) count(n int) error {
	if b.bytes += n; b.bytes > maxEventlessBytes {
		return &eventlessError{Limit: maxEventlessBytes}
	}
	return nil
}

// hold adds a block that is to be sent.
func (b *eventless) hold(e saddlesse.Event) {
	b.held = append(b.held, e.Raw...)
	b.hasFields = b.hasFields || e.HasFields
}

// release drops what is held, and reports whether it had fields.
func (b *eventless) release() (hadFields bool) {
	hadFields = b.hasFields
	b.held, b.hasFields = nil, false
	return hadFields
}

// eventlessError reports a target that sends without sending events.
type eventlessError struct {
	Limit int // bytes
}

// Error states the limit.
func (e *eventlessError) Error() string {
	return fmt.Sprintf("more than %d bytes without an event", e.Limit)
}
