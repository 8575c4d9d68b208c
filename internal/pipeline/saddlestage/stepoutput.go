package saddlestage

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// stepOutput is the result of a step that a stage sends to the next stage or,
// from the last stage, to the head.
type stepOutput struct {
	position   uint32 // first position of the step
	count      uint32
	activation []byte // empty at the last stage
	token      string // set at the last stage only
}

// end returns the position after the step.
func (o stepOutput) end() uint32 { return o.position + o.count }

func (o stepOutput) size() int64 { return int64(len(o.activation)) + outputOverheadBytes }

// mergeOutputs joins the outputs that end at or before a position into as few as
// maxReplayStepBytes allows. A replacement runs a joined output like a prompt,
// many positions in one step, and does not send its result to the next stage.
// Later outputs stay separate because their results are sent.
func mergeOutputs(outputs []stepOutput, position uint32) []stepOutput {
	var out []stepOutput
	for _, o := range outputs {
		last := len(out) - 1
		if last < 0 || o.end() > position || len(out[last].activation)+len(o.activation) > maxReplayStepBytes {
			o.activation = slices.Clip(o.activation) // forces append to copy the shared slice
			out = append(out, o)
			continue
		}
		out[last].count += o.count
		out[last].activation = append(out[last].activation, o.activation...)
	}
	return out
}

// lastOutputOf returns the step output that an EXPORT or RESTORE frame carries.
// ok is false if it carries none.
func lastOutputOf(f *saddlewire.Frame) (o stepOutput, ok bool) {
	if f.GetCount() == 0 || f.GetCount() > f.GetPosition() {
		return stepOutput{}, false
	}
	return stepOutput{
		position:   f.GetPosition() - f.GetCount(),
		count:      f.GetCount(),
		activation: f.GetActivation(),
		token:      f.GetToken(),
	}, true
}
