package saddleledger

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// DuplicateError says that a copy of an attempt, or a later attempt, came after
// one that may have been run. It does not say that the request was not run.
type DuplicateError struct {
	Request fireflysaddle.RequestID
	Attempt fireflysaddle.Attempt
}

// Error names the request and the attempt.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("request %q, attempt %d: this or an earlier attempt was received before", e.Request, e.Attempt)
}
