package saddlehops

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	activationBytes = 16 << 10 // of one position
	streamTime      = time.Second
	loopback        = "127.0.0.1:0"
)

// measureStreams compares frames of many requests in batches on one stream
// with a connection for each request. Each request has one frame under way.
func measureStreams(ctx context.Context, _ options) (*saddlefigure.Table, error) {
	t := &saddlefigure.Table{
		Name:     "streams",
		Settings: fmt.Sprintf("loopback TCP, activations of %d bytes, %v each", activationBytes, streamTime),
		Columns:  []string{"requests", "one stream frames/s", "one each frames/s", "ratio", "processor time a frame, ratio", "connections"},
	}
	for _, requests := range []int{1, 8, 64, 256} {
		batched, err := runStreams(ctx, 1, requests)
		if err != nil {
			return nil, err
		}
		single, err := runStreams(ctx, requests, 1)
		if err != nil {
			return nil, err
		}
		t.Add(fmt.Sprint(requests), fmt.Sprintf("%.0f", batched.rate), fmt.Sprintf("%.0f", single.rate),
			fmt.Sprintf("%.2f", batched.rate/single.rate), fmt.Sprintf("%.2f", batched.processor/single.processor),
			fmt.Sprintf("1 to %d", requests))
	}
	return t, nil
}

// streamFigures are those of one run.
type streamFigures struct {
	rate      float64 // frames a second
	processor float64 // seconds a frame, both ends
}

// runStreams passes frames there and back over connections, so many requests
// on each.
func runStreams(ctx context.Context, conns, requests int) (streamFigures, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return streamFigures{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error {
			return saddlewire.DRPCRegisterAgent(mux, &echoServer{})
		})
	}()
	began, before := time.Now(), processorTime()
	until := began.Add(streamTime)
	frames := make([]int, conns)
	var g errgroup.Group
	for i := range conns {
		g.Go(func() error {
			var err error
			frames[i], err = runStream(ctx, lis.Addr().String(), requests, until)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return streamFigures{}, err
	}
	total := 0
	for _, n := range frames {
		total += n
	}
	return streamFigures{
		rate:      float64(total) / time.Since(began).Seconds(),
		processor: (processorTime() - before).Seconds() / float64(total),
	}, nil
}

// runStream sends one frame of each request, and the next when it is back, in
// the batches in which they come back.
func runStream(ctx context.Context, address string, requests int, until time.Time) (int, error) {
	conn, err := saddlelink.Dial(ctx, address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCAgentClient(conn).Hop(ctx)
	if err != nil {
		return 0, err
	}
	for range requests {
		if err := stream.Send(batchOf(1)); err != nil {
			return 0, err
		}
	}
	n := 0
	for time.Now().Before(until) {
		batch, err := stream.Recv()
		if err != nil {
			return n, err
		}
		n += len(batch.GetFrames())
		if err := stream.Send(batchOf(len(batch.GetFrames()))); err != nil {
			return n, err
		}
	}
	return n, nil
}

func batchOf(n int) *saddlewire.FrameBatch {
	b := &saddlewire.FrameBatch{}
	for range n {
		b.Frames = append(b.Frames, &saddlewire.Frame{
			Kind: saddlewire.Frame_STEP, Request: request, Attempt: 1, Count: 1, Activation: make([]byte, activationBytes),
		})
	}
	return b
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
