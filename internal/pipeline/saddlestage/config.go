package saddlestage

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
)

// Config holds the settings of a runner.
type Config struct {
	Self        string                      // this agent's drpc address
	Incarnation fireflysaddle.Incarnation   // this agent's incarnation
	Engine      func() fireflysaddle.Engine // the engine beside it, nil when there is none
	Target      func() fireflysaddle.TargetID
	Accepting   func() bool   // new attempts may begin here
	Probe       time.Duration // a head without a token for so long asks after its stages
	Silence     time.Duration // a link silent for longer is closed
	Timeline    *saddletimeline.Ring
}

const (
	linkQueue  = 4096            // frames waiting for one link
	linkIdle   = time.Minute     // a link without frames for so long is closed
	frameBatch = 256             // frames sent at once
	headQueue  = 8               // events waiting for one head
	sessionTTL = 5 * time.Minute // a session that nobody closed is dropped after its deadline and this
)
