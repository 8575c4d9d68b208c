package fireflysaddle

// LogStore keeps what a control replica must not forget. It is used by one
// goroutine. A record counts as stored only after Sync returned nil; after an
// error the store takes no further writes.
type LogStore[E, H, S any] interface {
	// Append adds entries, replacing those at and after the first one's index.
	Append(entries []E) error
	// SetHardState records the term and vote.
	SetHardState(hard H) error
	// SetSnapshot replaces the log up to the snapshot's index.
	SetSnapshot(snapshot S) error
	// Sync makes all that came before durable.
	Sync() error
}
