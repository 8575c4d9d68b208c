package saddlereplica

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of a replica.
type Config struct {
	ID        string
	Voters    []string
	Heartbeat time.Duration // time between a leader's heartbeats
	Election  time.Duration // silence after which a follower asks for votes
	Rand      *rand.Rand    // spreads the election timeouts
}

// maxBatch bounds the entries of one append message.
const maxBatch = 256
