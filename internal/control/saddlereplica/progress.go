package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// progress is a leader's replication state for one replica. At most one message
// with entries or a snapshot chunk is in flight to it.
type progress struct {
	trackedSince  time.Time            // when the leader started to track the replica
	match         uint64               // highest index known to be stored there
	next          uint64               // index to send next
	lastAckedSend time.Time            // when the leader sent the last message that was answered
	sentAt        time.Time            // when the message in flight was sent; zero if none is
	echoNs        int64                // clock of the replica in its latest reply
	snapshot      *saddlewire.Snapshot // being sent; nil if none is
	offset        uint64               // snapshot bytes that the replica has received
}

// inFlight reports whether a message was sent less than limit ago and is not
// acknowledged.
func (p *progress) inFlight(now time.Time, limit time.Duration) bool {
	return !p.sentAt.IsZero() && now.Sub(p.sentAt) < limit
}
