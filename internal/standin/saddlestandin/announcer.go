package saddlestandin

import (
	"context"
	"net/http"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// Announcement returns what the engine says of itself.
func (e *Engine) Announcement() saddleannounce.Announcement {
	return e.cfg.announcement(e.Address())
}

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// Announce announces a target to an agent again and again until the context
// ends.
func Announce(ctx context.Context, agent string, a saddleannounce.Announcement, every time.Duration) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		_, _ = saddleannounce.Send(ctx, client, agent, a)
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}
