package fireflysaddle

// Fence is the fencing token of an order to a target. A target refuses an order whose
// fence is not greater than the highest one it has accepted.
type Fence struct {
	Term     Term
	Sequence Sequence
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}
