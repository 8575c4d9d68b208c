package saddlehops

import (
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	echoQueueFrames = 4096 // capacity of the queue of received frames
	maxBatchFrames  = 64   // frames in one returned batch
)

// echoServer returns the frames that it receives. It sends them from a queue and
// in batches, as an agent does when it forwards frames.
type echoServer struct {
	saddlewire.DRPCAgentUnimplementedServer
}

// Hop returns every frame that it receives.
func (*echoServer) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	queue := make(chan *saddlewire.Frame, echoQueueFrames)
	go func() {
		defer close(queue)
		for {
			batch, err := stream.Recv()
			if err != nil {
				return
			}
			for _, f := range batch.GetFrames() {
				queue <- f
			}
		}
	}()
	for f := range queue {
		batch := &saddlewire.FrameBatch{Frames: []*saddlewire.Frame{f}}
		for range min(len(queue), maxBatchFrames-1) {
			batch.Frames = append(batch.Frames, <-queue)
		}
		if err := stream.Send(batch); err != nil {
			return err
		}
	}
	return nil
}
