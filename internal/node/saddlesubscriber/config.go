package saddlesubscriber

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Config holds the settings of an attendant.
type Config struct {
	Controls              []string      // drpc addresses of the control replicas
	HeartbeatInterval     time.Duration // time between heartbeats
	ControlSilenceTimeout time.Duration // a replica silent for longer is dialled anew
	Member                func() *saddlewire.Member
	Timeline              *saddletimeline.Ring
	Network               fireflysaddle.Network // nil: TCP
}
