package saddledisk

// Operation is a kind of operation that can fail.
type Operation string

// The kinds of operations.
const (
	Create     Operation = "create"
	Write      Operation = "write"
	Truncate   Operation = "truncate"
	Sync       Operation = "sync"
	Rename     Operation = "rename"
	Remove     Operation = "remove"
	SyncFolder Operation = "sync folder"
)
