package saddleentry

import (
	"context"
	"time"
)

// follow calls try in the background until it reports that it is done, or for
// followTime. A shutdown waits for it.
func (s *Server) follow(try func(ctx context.Context) (done bool)) {
	s.following.Go(func() {
		ctx, cancel := context.WithTimeout(s.life, followTime)
		defer cancel()
		for !try(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(followPause):
			}
		}
	})
}

// awaitFollowing waits until what goes on in the background has ended or the
// context ends.
func (s *Server) awaitFollowing(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.following.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
