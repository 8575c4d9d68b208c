package saddleledger

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// DuplicateError reports that an attempt was not accepted because a copy of it, or
// another attempt of the request, may have been run or may still be run. It is no
// proof that the request was not run.
type DuplicateError struct {
	Request fireflysaddle.RequestID
	Attempt fireflysaddle.Attempt
}

// Error returns a message with the request and the attempt.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %q, attempt %d: this or another attempt may already have been received", e.Request, e.Attempt)
}
