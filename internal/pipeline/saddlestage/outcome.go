package saddlestage

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// outcome is what a stage handed on after a step.
type outcome struct {
	position   uint32 // first position of the step
	count      uint32
	activation []byte // all but the last stage
	token      string // last stage
}

// end returns the position after the step.
func (o outcome) end() uint32 { return o.position + o.count }

func (o outcome) size() int64 { return int64(len(o.activation)) + outcomeBytes }

// merge joins the outcomes that end at or before a position into as few as
// replayBytes allows: a replacement runs them like a prompt, many positions in
// one step, and hands none of them on.
func merge(outcomes []outcome, position uint32) []outcome {
	var out []outcome
	for _, o := range outcomes {
		n := len(out) - 1
		if n < 0 || o.end() > position || len(out[n].activation)+len(o.activation) > replayBytes {
			o.activation = slices.Clip(o.activation) // what is appended goes to a copy
			out = append(out, o)
			continue
		}
		out[n].count += o.count
		out[n].activation = append(out[n].activation, o.activation...)
	}
	return out
}

// lastOf returns the outcome that an EXPORT or RESTORE frame carries; ok is
// false when there is none.
func lastOf(f *saddlewire.Frame) (o outcome, ok bool) {
	if f.GetCount() == 0 || f.GetCount() > f.GetPosition() {
		return outcome{}, false
	}
	return outcome{
		position:   f.GetPosition() - f.GetCount(),
		count:      f.GetCount(),
		activation: f.GetActivation(),
		token:      f.GetToken(),
	}, true
}
