package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Stage is one target of a chain, with its agent.
type Stage struct {
	Target      fireflysaddle.TargetID
	Address     string // agent's drpc address
	Incarnation fireflysaddle.Incarnation
	Layers      fireflysaddle.LayerRange
}
