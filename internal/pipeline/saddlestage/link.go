package saddlestage

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// link sends frames to one other agent over one stream.
type link struct {
	address string
	queue   chan *saddlewire.Frame
	silence time.Duration
	dial    func(ctx context.Context, address string) (*drpcconn.Conn, error)
	heard   atomic.Bool // the present connection carried a heartbeat back
}

// run sends until the link fails, falls silent, is idle, or the context ends.
// It returns nil when the link is idle.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.heard.Store(false)
	conn, err := l.dial(ctx, l.address)
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
			l.heard.Store(true)
			silence.Reset(l.silence)
		}
	}()
	return l.sendAll(ctx, stream)
}

// sendAll sends what is queued, in batches, and heartbeats.
func (l *link) sendAll(ctx context.Context, stream saddlewire.DRPCAgent_HopClient) error {
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	beat := time.NewTicker(l.silence / hopBeats)
	defer beat.Stop()
	for {
		var batch saddlewire.FrameBatch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return nil
		case <-beat.C:
		case f := <-l.queue:
			batch.Frames = l.gather(f)
			idle.Reset(linkIdle)
		}
		if err := stream.Send(&batch); err != nil {
			return err
		}
		countFrames.Add(int64(len(batch.GetFrames())))
	}
}

// gather adds what is queued behind a frame, up to the size of a batch.
func (l *link) gather(first *saddlewire.Frame) []*saddlewire.Frame {
	frames := []*saddlewire.Frame{first}
	size := frameSize(first)
	for range min(len(l.queue), frameBatch) {
		if size > batchBytes {
			break
		}
		f := <-l.queue
		size += frameSize(f)
		frames = append(frames, f)
	}
	return frames
}

func frameSize(f *saddlewire.Frame) int {
	return len(f.GetActivation()) + len(f.GetCache())
}
