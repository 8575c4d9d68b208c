package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Status is the state of one stage as known to the head of the chain while a
// request runs. Positions are counts: a stage that has completed n positions has
// run positions 0 to n-1.
type Status struct {
	Stage           Stage
	Lost            bool                   // whether the stage cannot continue the attempt
	Completed       fireflysaddle.Position // positions that the stage has run
	Accepted        fireflysaddle.Position // positions that it has run or queued
	RetainedFrom    fireflysaddle.Position // first position whose output it can resend
	ExportPositions fireflysaddle.Position // positions in the export that it holds of the next stage's KV cache; 0 if it holds none
}
