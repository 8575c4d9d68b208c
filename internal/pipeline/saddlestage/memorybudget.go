package saddlestage

// memoryBudget tracks the bytes still available to an agent for recovery data.
// It is guarded by the table's lock.
type memoryBudget struct {
	available int64
}

// reserve takes n bytes from the budget. It returns false, and takes nothing, if
// fewer are available.
func (r *memoryBudget) reserve(n int64) bool {
	if r.available < n {
		return false
	}
	r.available -= n
	return true
}

func (r *memoryBudget) release(n int64) { r.available += n }
