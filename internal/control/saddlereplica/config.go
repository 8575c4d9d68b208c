package saddlereplica

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Config holds the settings of a replica.
type Config struct {
	ID string
	// Members are the replicas of a new group. They count until the log holds
	// a membership. A replica that is not among them waits without a vote for
	// a leader that knows it.
	Members           *saddlewire.Membership
	HeartbeatInterval time.Duration // time between a leader's heartbeats
	ElectionTimeout   time.Duration // silence after which a follower asks for votes
	MessageBytes      int           // of the entries or snapshot data in one message; 0: the default
	Rand              *rand.Rand    // spreads the election timeouts
	// Voters is the number of votes that the group keeps itself at without an
	// operator; 0: only an operator changes the replicas.
	DesiredVoters int
	ReplaceAfter  time.Duration // silence after which a replica may be replaced, with Voters
}

const (
	maxBatch            = 256     // entries of one append message
	defaultMessageBytes = 1 << 20 // heartbeats wait behind no more than this
)

func (c *Config) messageBytes() int {
	if c.MessageBytes > 0 {
		return c.MessageBytes
	}
	return defaultMessageBytes
}
