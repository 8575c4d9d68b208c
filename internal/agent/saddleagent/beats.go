package saddleagent

import (
	"context"
	"time"
)

// beatEvery is the time between heartbeats on a call in progress.
const beatEvery = 250 * time.Millisecond

// beats calls send again and again until the context ends.
func beats(ctx context.Context, send func() error) {
	tick := time.NewTicker(beatEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if err := send(); err != nil {
				return
			}
		}
	}
}
