package saddlehops

import (
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	echoQueue = 4096 // frames that wait to go back
	echoBatch = 64   // frames that go back at once
)

// echoServer sends frames back as an agent hands them on: queued, in batches.
type echoServer struct {
	saddlewire.DRPCAgentUnimplementedServer
}

// Hop sends every frame back.
func (*echoServer) Hop(stream saddlewire.DRPCAgent_HopStream) error {
	queue := make(chan *saddlewire.Frame, echoQueue)
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
		for range min(len(queue), echoBatch-1) {
			batch.Frames = append(batch.Frames, <-queue)
		}
		if err := stream.Send(batch); err != nil {
			return err
		}
	}
	return nil
}
