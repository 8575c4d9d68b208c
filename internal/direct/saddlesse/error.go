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
