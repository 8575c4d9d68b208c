package saddlestandin

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// Announcement returns the announcement of the engine in its current state.
func (e *Engine) Announcement() saddleannounce.Announcement {
	return e.engineState.fillAnnouncement(e.cfg.announcement(e.Address()))
}

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// Announce sends an announcement to an agent once per interval until the context
// ends.
func Announce(ctx context.Context, agent string, a saddleannounce.Announcement, interval time.Duration) {
	AnnounceFunc(ctx, agent, func() saddleannounce.Announcement { return a }, interval)
}
