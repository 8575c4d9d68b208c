package saddlereplica

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Config holds the settings of a replica.
type Config struct {
	ID string
	// Members are the initial replicas of a new group. They apply until the log
	// holds a membership. A replica that is not among them waits without a vote
	// until a leader contacts it as a learner.
	Members           *saddlewire.Membership
	HeartbeatInterval time.Duration // interval of a leader's heartbeats
	ElectionTimeout   time.Duration // minimum time without contact from a leader before a follower starts a pre-vote
	MessageBytes      int           // limit on entries or snapshot data in one message, which a single entry may exceed; 0 uses the default
	Rand              *rand.Rand    // randomises election timeouts
	// DesiredVoters is the number of voters that the group maintains by
	// automatic replacement. If it is 0, only operators change the membership.
	DesiredVoters int
	ReplaceAfter  time.Duration // time without replies after which a replica may be replaced or removed; unused if DesiredVoters is 0
}

const (
	maxEntriesPerMessage = 256     // limit on the number of entries in an APPEND message
	defaultMessageBytes  = 1 << 20 // bounds how long a heartbeat queues behind a large message
)

func (c *Config) messageBytes() int {
	if c.MessageBytes > 0 {
		return c.MessageBytes
	}
	return defaultMessageBytes
}
