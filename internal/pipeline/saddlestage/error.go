package saddlestage

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// LostError reports that a stage of a chain was lost while a request ran and
// could not be recovered.
type LostError struct {
	Target fireflysaddle.TargetID
	Reason string
}

// Error returns the target and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("stage at target %q lost: %s", e.Target, e.Reason)
}

// oversizeError reports an activation that exceeds maxActivationBytes.
type oversizeError struct {
	size int
}

// Error returns the size and the limit.
func (e *oversizeError) Error() string {
	return fmt.Sprintf("activation of %d bytes exceeds the limit of %d bytes", e.size, maxActivationBytes)
}
