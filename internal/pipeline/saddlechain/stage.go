package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Stage is one target of a chain, with its agent.
type Stage struct {
	Target      fireflysaddle.TargetID
	Address     string // agent's drpc address
	Incarnation fireflysaddle.Incarnation
	Layers      fireflysaddle.LayerRange
	Group       fireflysaddle.Group   // what the target held when it was chosen
	Version     fireflysaddle.Version // of the group
}
