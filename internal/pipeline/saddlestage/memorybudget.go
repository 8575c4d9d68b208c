package saddlestage

// memoryBudget tracks the bytes still available to an agent for recovery data.
// It is guarded by the table's lock.
type memoryBudget struct {
	available int64
}

// reserve takes n bytes from the budget. It returns false, and takes nothing, if
// fewer are available.
func (b *memoryBudget) reserve(n int64) bool {
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *memoryBudget) release(n int64) { b.available += n }
