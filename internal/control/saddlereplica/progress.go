package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// progress is a leader's replication state for one replica. At most one message
// with entries or a snapshot chunk is in flight to it.
type progress struct {
	trackedSince   time.Time            // when the leader started to track the replica
	matchIndex     uint64               // highest log index known to be stored at the replica
	nextIndex      uint64               // index of the next log entry to send
	lastAckedSend  time.Time            // when the leader sent the latest message that the replica answered
	sentAt         time.Time            // when the entries or chunk in flight were sent; zero if none are
	echoNs         int64                // reading of the replica's clock in its latest reply
	snapshot       *saddlewire.Snapshot // snapshot in transfer; nil if none is
	snapshotOffset uint64               // bytes of the snapshot that the replica has received
}

// inFlight reports whether entries or a snapshot chunk were sent less than timeout
// ago and are not acknowledged.
func (p *progress) inFlight(now time.Time, timeout time.Duration) bool {
	return !p.sentAt.IsZero() && now.Sub(p.sentAt) < timeout
}
