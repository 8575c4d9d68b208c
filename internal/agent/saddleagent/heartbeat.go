package saddleagent

import (
	"context"
	"time"
)

// heartbeatInterval is the time between heartbeats on the stream of a request in
// progress.
const heartbeatInterval = 250 * time.Millisecond

// sendHeartbeats calls send at every heartbeatInterval until the context ends or
// send fails.
func sendHeartbeats(ctx context.Context, send func() error) {
	tick := time.NewTicker(heartbeatInterval)
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
