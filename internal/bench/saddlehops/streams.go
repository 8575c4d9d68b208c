package saddlehops

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	activationBytes = 16 << 10 // size of the activation of one position
	streamDuration  = time.Second
	loopbackAddress = "127.0.0.1:0"
)

// measureStreams compares one stream, which carries the frames of all requests in
// batches, with a separate connection for each request. Each request has one frame
// in flight.
func measureStreams(ctx context.Context, _ options) (*saddlereport.Table, error) {
	t := &saddlereport.Table{
		Name:     "streams",
		Settings: fmt.Sprintf("loopback TCP, activations of %d bytes, %v each", activationBytes, streamDuration),
		Columns:  []string{"requests", "one stream frames/s", "one each frames/s", "ratio", "processor time a frame, ratio", "connections"},
	}
	for _, requests := range []int{1, 8, 64, 256} {
		batched, err := runStreams(ctx, 1, requests)
		if err != nil {
			return nil, err
		}
		separate, err := runStreams(ctx, requests, 1)
		if err != nil {
			return nil, err
		}
		t.Add(fmt.Sprint(requests), fmt.Sprintf("%.0f", batched.framesPerSecond), fmt.Sprintf("%.0f", separate.framesPerSecond),
			fmt.Sprintf("%.2f", batched.framesPerSecond/separate.framesPerSecond), fmt.Sprintf("%.2f", batched.cpuSecondsPerFrame/separate.cpuSecondsPerFrame),
			fmt.Sprintf("1 to %d", requests))
	}
	return t, nil
}

// streamMetrics are the results of one run.
type streamMetrics struct {
	framesPerSecond    float64 // frames returned by the echo server
	cpuSecondsPerFrame float64 // processor time of both ends
}

// runStreams exchanges frames with an echo server for streamDuration, over conns
// connections that each carry the frames of requestsPerConn requests.
func runStreams(ctx context.Context, conns, requestsPerConn int) (streamMetrics, error) {
	lis, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return streamMetrics{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		_ = saddlelink.Serve(ctx, lis, func(mux drpc.Mux) error {
			return saddlewire.DRPCRegisterAgent(mux, &echoServer{})
		})
	}()
	start, cpuBefore := time.Now(), processCPUTime()
	deadline := start.Add(streamDuration)
	frameCounts := make([]int, conns)
	var g errgroup.Group
	for i := range conns {
		g.Go(func() error {
			var err error
			frameCounts[i], err = runStream(ctx, lis.Addr().String(), requestsPerConn, deadline)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return streamMetrics{}, err
	}
	total := 0
	for _, n := range frameCounts {
		total += n
	}
	return streamMetrics{
		framesPerSecond:    float64(total) / time.Since(start).Seconds(),
		cpuSecondsPerFrame: (processCPUTime() - cpuBefore).Seconds() / float64(total),
	}, nil
}

// runStream sends one frame for each request, then answers every returned batch
// with a batch of the same size until the deadline. It returns the number of
// returned frames.
func runStream(ctx context.Context, address string, requests int, deadline time.Time) (int, error) {
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
		if err := stream.Send(newBatch(1)); err != nil {
			return 0, err
		}
	}
	n := 0
	for time.Now().Before(deadline) {
		batch, err := stream.Recv()
		if err != nil {
			return n, err
		}
		n += len(batch.GetFrames())
		if err := stream.Send(newBatch(len(batch.GetFrames()))); err != nil {
			return n, err
		}
	}
	return n, nil
}

func newBatch(frames int) *saddlewire.FrameBatch {
	b := &saddlewire.FrameBatch{}
	for range frames {
		b.Frames = append(b.Frames, &saddlewire.Frame{
			Kind: saddlewire.Frame_STEP, Request: requestID, Attempt: 1, Count: 1, Activation: make([]byte, activationBytes),
		})
	}
	return b
}

// processCPUTime returns the user and system time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
