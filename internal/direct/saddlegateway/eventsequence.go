package saddlegateway

import (
	"fmt"
	"strconv"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// eventSequence checks that the events of a further attempt continue those that the caller has
// received. A target that cannot continue a stream may answer with an error whose status is
// that of a success.
type eventSequence struct {
	events      int
	last        uint64
	unnumbered  bool // an event had no number as identifier, so nothing can be checked
	consecutive bool // each event had the number after that of the event before it
	withoutData bool // the caller has received fields without an event
}

// start sets the identifier of the last event that the caller already has, if it is a number.
func (s *eventSequence) start(lastEventID string) {
	if n, err := strconv.ParseUint(lastEventID, 10, 64); err == nil {
		s.last = n
	}
}

// record records an event that was sent to the caller.
func (s *eventSequence) record(e saddlesse.Event) {
	n, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil {
		s.unnumbered = true
		return
	}
	s.consecutive = (s.events == 0 || s.consecutive) && n == s.last+1
	s.last = n
	s.events++
}

// check returns an error if an event of a further attempt, which the caller has not received,
// cannot be the next one. Fields without an event are no sign of an error in a stream that had
// some before.
func (s *eventSequence) check(e saddlesse.Event) error {
	if s.unnumbered || s.events == 0 || !e.HasFields || (!e.HasData && s.withoutData) {
		return nil
	}
	n, err := strconv.ParseUint(e.ID, 10, 64)
	if err != nil || n <= s.last || (s.consecutive && n != s.last+1) {
		return &sequenceError{Last: s.last, ID: e.ID}
	}
	return nil
}

// sequenceError reports an event of a further attempt that does not continue the stream.
type sequenceError struct {
	Last uint64 // identifier of the last event that the caller has received
	ID   string // of the event
}

// Error names both identifiers.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("event with the identifier %.20q does not continue the stream after event %d", e.ID, e.Last)
}
