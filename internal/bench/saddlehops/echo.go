package saddlehops

import (
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	echoQueueFrames = 4096 // capacity of the queue of frames to be returned
	maxBatchFrames  = 64   // frames in one returned batch
)

// echoServer returns frames in the way that an agent forwards them: from a
// queue, in batches.
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
