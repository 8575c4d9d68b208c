package saddlechain

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// Chain is a list of stages that together hold the layers [0, n) of a model,
// each exactly once and in order. A non-empty chain is only created by New.
type Chain struct {
	stages []Stage
}

// New returns the chain of the stages. The error is a *CoverError if they do not
// cover every layer of one model exactly once, in order.
func New(stages []Stage) (Chain, error) {
	var next fireflysaddle.Layer
	for i, s := range stages {
		valid := s.Layers.Check() == nil && s.Layers.ModelLayers == stages[0].Layers.ModelLayers
		if !valid || s.Layers.From != next {
			return Chain{}, &CoverError{Stage: i, WantFrom: next, Range: s.Layers}
		}
		next = s.Layers.To
	}
	if len(stages) == 0 || next != stages[0].Layers.ModelLayers {
		return Chain{}, &CoverError{Stage: len(stages), WantFrom: next}
	}
	return Chain{stages: slices.Clone(stages)}, nil
}

// Stages returns the stages in order. The slice must not be modified.
func (c Chain) Stages() []Stage { return c.stages }

// Head returns the first stage.
func (c Chain) Head() Stage { return c.stages[0] }

// Len returns the number of stages.
func (c Chain) Len() int { return len(c.stages) }
