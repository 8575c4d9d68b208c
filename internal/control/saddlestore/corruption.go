package saddlestore

import "fmt"

// CorruptionError is returned when data that was synced is missing or cannot be
// read.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the file, the offset in bytes and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s: corrupt record at offset %d: %s", e.File, e.Offset, e.Reason)
}
