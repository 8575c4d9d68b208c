package fireflysaddle

// Fence orders the orders given to targets. A receiver refuses an order whose
// fence is not above the highest it has accepted.
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
