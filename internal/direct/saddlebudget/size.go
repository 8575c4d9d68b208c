package saddlebudget

// Size is an amount of memory in bytes.
type Size int64

// Units of Size.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
)
