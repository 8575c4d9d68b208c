package saddlestage

import (
	"context"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// link sends frames to one other agent over a single stream.
type link struct {
	address           string
	queue             chan *saddlewire.Frame
	silenceTimeout    time.Duration
	dial              func(ctx context.Context, address string) (*drpcconn.Conn, error)
	heartbeatReceived atomic.Bool // whether the current connection has received a heartbeat
}

// run sends frames until the link fails, the silence or idle timeout passes, or
// the context ends. It returns nil on an idle timeout.
func (l *link) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.heartbeatReceived.Store(false)
	conn, err := l.dial(ctx, l.address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	silenceTimer := time.AfterFunc(l.silenceTimeout, func() {
		cancel()
		_ = conn.Close()
	})
	defer silenceTimer.Stop()
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
			l.heartbeatReceived.Store(true)
			silenceTimer.Reset(l.silenceTimeout)
		}
	}()
	return l.sendLoop(ctx, stream)
}

// sendLoop sends the queued frames in batches, and empty batches as heartbeats.
func (l *link) sendLoop(ctx context.Context, stream saddlewire.DRPCAgent_HopClient) error {
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	heartbeat := time.NewTicker(l.silenceTimeout / heartbeatsPerTimeout)
	defer heartbeat.Stop()
	for {
		var batch saddlewire.FrameBatch
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle.C:
			return nil
		case <-heartbeat.C:
		case f := <-l.queue:
			batch.Frames = l.collectBatch(f)
			idle.Reset(linkIdleTimeout)
		}
		if err := stream.Send(&batch); err != nil {
			return err
		}
		countFrames.Add(int64(len(batch.GetFrames())))
	}
}

// collectBatch returns the given frame, followed by frames from the queue up to
// the limits of a batch.
func (l *link) collectBatch(first *saddlewire.Frame) []*saddlewire.Frame {
	frames := []*saddlewire.Frame{first}
	size := frameSize(first)
	for range min(len(l.queue), maxBatchFrames) {
		if size > batchFlushBytes {
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
