package saddleorder

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// StaleFenceError reports that a desired state has a lower fence than one seen
// before.
type StaleFenceError struct {
	Got     fireflysaddle.Fence
	Highest fireflysaddle.Fence
}

// Error returns a message with both fences.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("fence (%d, %d) is older than the highest fence (%d, %d)", e.Got.Term, e.Got.Sequence, e.Highest.Term, e.Highest.Sequence)
}
