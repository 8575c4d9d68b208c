package saddlestandin

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// Announcement returns what the engine says of itself.
func (e *Engine) Announcement() saddleannounce.Announcement {
	return e.holding.describe(e.cfg.announcement(e.Address()))
}

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// Announce announces a target to an agent again and again until the context
// ends.
func Announce(ctx context.Context, agent string, a saddleannounce.Announcement, every time.Duration) {
	AnnounceChanging(ctx, agent, func() saddleannounce.Announcement { return a }, every)
}
