package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Ready lists the pending work of the caller. The caller must first persist and
// sync HardState, Snapshot and Entries, then send Messages, and then apply Snapshot
// and Committed.
type Ready struct {
	HardState *saddlewire.HardState  // nil if unchanged
	Snapshot  *saddlewire.Snapshot   // received from the leader; nil if none
	Entries   []*saddlewire.LogEntry // entries to append to the persisted log
	Messages  []*saddlewire.Message
	Committed []*saddlewire.LogEntry // committed and not yet applied
}
