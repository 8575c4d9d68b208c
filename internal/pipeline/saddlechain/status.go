package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Status is the state of one stage as known to the head of the chain while a
// request runs. Positions are counts: a stage that has completed n positions has
// run positions 0 to n-1.
type Status struct {
	Stage           Stage
	Lost            bool                   // whether it cannot continue the attempt
	Completed       fireflysaddle.Position // positions that it has run
	Accepted        fireflysaddle.Position // positions that it has run or has queued
	RetainedFrom    fireflysaddle.Position // first position whose output it can resend
	ExportPositions fireflysaddle.Position // positions in the export of the next stage that it holds; 0 if none
}
