package saddlesubscriber

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Config holds the settings of a Subscriber.
type Config struct {
	Controls              []string      // drpc addresses of the control replicas
	HeartbeatInterval     time.Duration // time between heartbeats
	ControlSilenceTimeout time.Duration // time without an update after which a replica is dialled again
	// Member returns the node's state for the next heartbeat, in a new message for
	// each call. It is called concurrently.
	Member   func() *saddlewire.Member
	Timeline *saddletimeline.Ring
	Network  fireflysaddle.Network // nil: TCP
	Log      zerolog.Logger
}
