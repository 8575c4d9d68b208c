package saddlegateway

import (
	"bytes"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// heldEvents are the blocks of an attempt whose answer begins once it is whole.
type heldEvents struct {
	blocks []saddlesse.Event
	whole  bool // the attempt has ended, and the blocks may be sent
}

// add keeps a block.
func (h *heldEvents) add(e saddlesse.Event) {
	e.Raw = bytes.Clone(e.Raw)
	h.blocks = append(h.blocks, e)
}

// holdEnd returns until when a stream is held: its caller is to get an answer before it leaves,
// because another entry can serve it.
func (j *job) holdEnd() time.Time {
	return j.startTime.Add(time.Duration(retryPatience * float64(j.route.CallerPatience())))
}

// startHoldTimer gives the call up at the end of the hold if it is a stream.
func (j *job) startHoldTimer(now time.Time) {
	if j.route.Kind == saddlerouting.Streaming && j.holdTimer == nil {
		j.holdTimer = time.AfterFunc(j.holdEnd().Sub(now), j.giveUp)
	}
}

func (j *job) stopHoldTimer() {
	if j.holdTimer != nil {
		j.holdTimer.Stop()
	}
}
