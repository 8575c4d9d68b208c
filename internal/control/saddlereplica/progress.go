package saddlereplica

import "time"

// progress is what a leader knows of one other replica.
type progress struct {
	match uint64    // highest index known to be stored there
	next  uint64    // index to send next
	acked time.Time // when the leader sent the last message that was answered
}
