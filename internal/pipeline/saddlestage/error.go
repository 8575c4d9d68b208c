package saddlestage

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// LostError says that a stage of a chain was lost while a request ran, and
// could not be recovered.
type LostError struct {
	Target fireflysaddle.TargetID
	Reason string
}

// Error names the target and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("stage at target %q is lost: %s", e.Target, e.Reason)
}

// oversizeError says that an activation exceeds what one frame carries.
type oversizeError struct {
	size int
}

// Error gives the size and the limit.
func (e *oversizeError) Error() string {
	return fmt.Sprintf("an activation of %d bytes exceeds the limit of %d", e.size, maxActivationBytes)
}
