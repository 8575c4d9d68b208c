package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Ready lists what the caller must do, in this order: persist and sync
// HardState, Snapshot and Entries, send Messages, apply Snapshot and Committed.
type Ready struct {
	HardState *saddlewire.HardState  // nil if unchanged
	Snapshot  *saddlewire.Snapshot   // received from the leader; nil if none
	Entries   []*saddlewire.LogEntry // to append to the persisted log
	Messages  []*saddlewire.Message
	Committed []*saddlewire.LogEntry // committed and not yet applied
}
