package saddleclient

import "fmt"

// UnknownError says that a command may have been accepted: its answer was lost
// and no replica could be asked again in time. A resend under the same request
// id learns the result.
type UnknownError struct {
	Request string
	Err     error
}

// Error names the request id.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome of command %q is unknown; resend it under the same request id: %v", e.Request, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
