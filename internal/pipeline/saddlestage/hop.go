package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// hopBeats is how many heartbeats go into the time after which a link counts
// as silent.
const hopBeats = 4

// Hop takes in the frames of another agent's link and sends it heartbeats. It
// ends a link on which nothing comes in, heartbeats neither.
func (r *Runner) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	silence := time.AfterFunc(r.cfg.LinkSilenceTimeout, cancel)
	defer silence.Stop()
	go func() {
		defer cancel()
		r.takeBatches(stream, silence)
	}()
	tick := time.NewTicker(r.cfg.LinkSilenceTimeout / hopBeats)
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

func (r *Runner) takeBatches(stream saddlewire.DRPCAgent_HopStream, silence *time.Timer) {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(r.cfg.LinkSilenceTimeout)
		now := time.Now()
		r.cfg.Timeline.Observe(now, batch.GetStamp())
		for _, f := range batch.GetFrames() {
			r.Take(now, f)
		}
	}
}
