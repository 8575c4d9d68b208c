package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// progress is what a leader knows of one other replica. One message with
// entries or a part of a snapshot is under way to it at a time.
type progress struct {
	since    time.Time            // it is followed
	match    uint64               // highest index known to be stored there
	next     uint64               // index to send next
	acked    time.Time            // when the leader sent the last message that was answered
	sent     time.Time            // when the message under way was sent; zero: none is
	echoNs   int64                // its clock when it last answered
	snapshot *saddlewire.Snapshot // being sent, nil: none
	offset   uint64               // bytes of it stored there
}

// waiting reports whether the message under way may still be answered.
func (p *progress) waiting(now time.Time, limit time.Duration) bool {
	return !p.sent.IsZero() && now.Sub(p.sent) < limit
}
