package saddlestage

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// LostError says that a stage of a chain was lost while a request ran.
type LostError struct {
	Target fireflysaddle.TargetID
	Reason string
}

// Error names the target and the reason.
func (e *LostError) Error() string {
	return fmt.Sprintf("stage at target %q is lost: %s", e.Target, e.Reason)
}
