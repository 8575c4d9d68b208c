package saddleclient

import "fmt"

// UnknownOutcomeError is returned when a command may have been accepted, but its answer
// was lost or the leader changed, and no replica answered a resend in time. A later resend
// with the same request id returns the result.
type UnknownOutcomeError struct {
	Request string // request id of the command
	Err     error
}

// Error returns a message with the request id and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of command %q is unknown; resend it under the same request id: %v", e.Request, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
