package saddlechain

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// CoverError says that stages do not cover a model's layers exactly, in order.
type CoverError struct {
	Stage int // index of the stage at fault
	Want  fireflysaddle.Layer
	Range fireflysaddle.LayerRange
}

// Error names the stage and its layers.
func (e *CoverError) Error() string {
	return fmt.Sprintf("stage %d holds layers %s, expected a range from %d", e.Stage, e.Range, e.Want)
}

// RepairError says why a chain cannot go on with an attempt.
type RepairError struct {
	Target fireflysaddle.TargetID // the stage that cannot be replaced or caught up
	Reason string
}

// Error names the target and the reason.
func (e *RepairError) Error() string {
	return fmt.Sprintf("stage at target %q cannot be recovered: %s", e.Target, e.Reason)
}
