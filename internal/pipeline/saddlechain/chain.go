package saddlechain

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// Chain is a list of stages that hold the layers [0, n) of a model exactly, in
// order. Only New makes one that is not empty.
type Chain struct {
	stages []Stage
}

// New checks the cover and returns the chain. Errors are of type *CoverError.
func New(stages []Stage) (Chain, error) {
	var want fireflysaddle.Layer
	for i, s := range stages {
		sound := s.Layers.Check() == nil && s.Layers.Of == stages[0].Layers.Of
		if !sound || s.Layers.From != want {
			return Chain{}, &CoverError{Stage: i, Want: want, Range: s.Layers}
		}
		want = s.Layers.To
	}
	if len(stages) == 0 || want != stages[0].Layers.Of {
		return Chain{}, &CoverError{Stage: len(stages), Want: want}
	}
	return Chain{stages: slices.Clone(stages)}, nil
}

// Stages returns the stages in order. They must not be changed.
func (c Chain) Stages() []Stage { return c.stages }

// Head returns the first stage.
func (c Chain) Head() Stage { return c.stages[0] }

// Len returns the number of stages.
func (c Chain) Len() int { return len(c.stages) }
