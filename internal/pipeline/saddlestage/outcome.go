package saddlestage

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

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
