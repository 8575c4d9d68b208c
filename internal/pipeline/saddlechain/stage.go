package saddlechain

import "github.com/fireflysaddle/fireflysaddle"

// Stage is one target of a chain and its agent.
type Stage struct {
	Target      fireflysaddle.TargetID
	Address     string // drpc address of the agent
	Incarnation fireflysaddle.Incarnation
	Layers      fireflysaddle.LayerRange
	Group       fireflysaddle.Group   // group of the target when it was chosen
	Version     fireflysaddle.Version // version of the group
}
