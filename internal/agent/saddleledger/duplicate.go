package saddleledger

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// DuplicateError reports that a copy of an attempt, or a later attempt, arrived
// after an attempt that may have been run. It is no proof that the request was not
// run.
type DuplicateError struct {
	Request fireflysaddle.RequestID
	Attempt fireflysaddle.Attempt
}

// Error returns a message with the request and the attempt.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %q, attempt %d: this or an earlier attempt was received before", e.Request, e.Attempt)
}
