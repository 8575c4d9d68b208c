package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// link sends frames to one other agent over one stream.
type link struct {
	address string
	queue   chan *saddlewire.Frame
	silence time.Duration
}

// run sends until the link fails, falls silent, is idle, or the context ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := l.carry(ctx, cancel)
	if err != nil && ctx.Err() == nil {
		countLinksLost.Add(1)
	}
}

func (l *link) carry(ctx context.Context, cancel func()) error {
	conn, err := saddlelink.Dial(ctx, l.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	silence := time.AfterFunc(l.silence, func() {
		cancel()
		_ = conn.Close()
	})
	defer silence.Stop()
	stream, err := saddlewire.NewDRPCAgentClient(conn).Hop(ctx)
	if err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
			silence.Reset(l.silence)
		}
	}()
	return l.sendAll(ctx, stream)
}

func (l *link) sendAll(ctx context.Context, stream saddlewire.DRPCAgent_HopClient) error {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		var batch saddlewire.FrameBatch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return nil
		case f := <-l.queue:
			batch.Frames = append(batch.Frames, f)
		}
		for range min(len(l.queue), frameBatch) {
			batch.Frames = append(batch.Frames, <-l.queue)
		}
		if err := stream.Send(&batch); err != nil {
			return err
		}
		countFrames.Add(int64(len(batch.GetFrames())))
		idle.Reset(linkIdle)
	}
}
