package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Ready is what the caller must do after a call: first store Hard, Snapshot
// and Entries and sync, then send Messages, then apply Snapshot and Committed.
type Ready struct {
	HardState *saddlewire.HardState // nil: unchanged
	Snapshot  *saddlewire.Snapshot  // received from the leader, nil: none
	Entries   []*saddlewire.LogEntry
	Messages  []*saddlewire.Message
	Committed []*saddlewire.LogEntry
}
