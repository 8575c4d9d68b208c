package saddleentry

import (
	"context"
	"time"
)

// runInBackground calls work repeatedly in a goroutine until work reports done,
// backgroundTimeout has passed or the server's background work is cancelled.
// Server.shutdown waits for the goroutine.
func (s *Server) runInBackground(work func(ctx context.Context) (done bool)) {
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.backgroundCtx, backgroundTimeout)
		defer cancel()
		for !work(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(backgroundRetryInterval):
			}
		}
	})
}

// awaitBackground waits until all background work has ended or ctx is done.
func (s *Server) awaitBackground(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
