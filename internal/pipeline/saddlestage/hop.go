package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// heartbeatsPerTimeout is the number of heartbeats sent within the silence
// timeout of a link.
const heartbeatsPerTimeout = 4

// Hop receives the batches of another agent on a link. The sender's heartbeats are
// batches without frames. Hop also sends such heartbeats of its own back to the
// sender. It closes the link when no batch arrives within the silence timeout.
func (r *Runner) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silenceTimer := time.AfterFunc(r.cfg.LinkSilenceTimeout, cancel)
	defer silenceTimer.Stop()
	go func() {
		defer cancel()
		r.receiveBatches(stream, silenceTimer)
	}()
	tick := time.NewTicker(r.cfg.LinkSilenceTimeout / heartbeatsPerTimeout)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.ctx.Done():
			return nil
		case <-tick.C:
			if err := stream.Send(&saddlewire.FrameBatch{}); err != nil {
				return err
			}
		}
	}
}

func (r *Runner) receiveBatches(stream saddlewire.DRPCAgent_HopStream, silenceTimer *time.Timer) {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		silenceTimer.Reset(r.cfg.LinkSilenceTimeout)
		now := time.Now()
		r.cfg.Timeline.Observe(now, batch.GetStamp())
		for _, f := range batch.GetFrames() {
			r.HandleFrame(now, f)
		}
	}
}
