package saddleclient

import "fmt"

// UnknownOutcomeError says that a command may have been accepted: its answer was lost
// and no replica could be asked again in time. A resend under the same request
// id learns the result.
type UnknownOutcomeError struct {
	Request string
	Err     error
}

// Error names the request id.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of command %q is unknown; resend it under the same request id: %v", e.Request, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
