package saddlestore

import "fmt"

// DamageError says that a file holds a record that was synced and is damaged.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error gives the file, the offset in bytes and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged record at offset %d: %s", e.File, e.Offset, e.Reason)
}
