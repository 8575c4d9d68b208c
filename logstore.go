package fireflysaddle

// LogStore persists the log, term, vote and snapshot of a control replica. It is used
// by a single goroutine. A record is durable only after Sync has returned nil; after an
// error the store accepts no further writes.
type LogStore[E, H, S any] interface {
	// Append adds entries. Stored entries from the index of the first new entry on are
	// replaced.
	Append(entries []E) error
	// SetHardState records the term and vote.
	SetHardState(hard H) error
	// SetSnapshot replaces the log entries up to and including the snapshot's index by
	// the snapshot.
	SetSnapshot(snapshot S) error
	// Sync makes all previous writes durable.
	Sync() error
}
