package saddlechain

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// CoverError reports stages that do not cover every layer of a model exactly
// once, in order.
type CoverError struct {
	Stage    int                 // index of the first invalid stage
	WantFrom fireflysaddle.Layer // expected first layer of that stage
	Range    fireflysaddle.LayerRange
}

// Error returns the stage, its layers and the expected first layer.
func (e *CoverError) Error() string {
	return fmt.Sprintf("stage %d holds layers %s, expected a range that starts at layer %d", e.Stage, e.Range, e.WantFrom)
}

// RepairError reports that a chain cannot be repaired and its attempt cannot
// continue.
type RepairError struct {
	Target fireflysaddle.TargetID // target of the stage that cannot be replaced or whose missing input cannot be resent
	Reason string
}

// Error returns the target and the reason.
func (e *RepairError) Error() string {
	return fmt.Sprintf("stage at target %q cannot be recovered: %s", e.Target, e.Reason)
}
