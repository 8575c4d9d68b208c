package saddlesse

import "fmt"

// PartialEventError reports that a body ended inside an event.
type PartialEventError struct {
	Bytes int // bytes after the last complete event
}

// Error states how much of the event was received.
func (e *PartialEventError) Error() string {
	return fmt.Sprintf("the body ended %d bytes into an event", e.Bytes)
}

// EventTooLongError reports an event that was not complete after a number of bytes.
type EventTooLongError struct {
	Limit int // bytes
}

// Error states the limit.
func (e *EventTooLongError) Error() string {
	return fmt.Sprintf("event longer than %d bytes", e.Limit)
}
