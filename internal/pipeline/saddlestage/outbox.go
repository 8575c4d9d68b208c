package saddlestage

// outbox holds the last export of the next stage and the outputs that this stage
// has produced since. It is guarded by the table's lock.
type outbox struct {
	start   uint32 // first position whose output is held
	outputs []stepOutput
	export  export
}

// add stores an output. If the budget does not suffice, add drops the oldest
// outputs first. If it does not suffice even then, the output is not stored.
func (b *outbox) add(o stepOutput, budget *memoryBudget) {
	for !budget.reserve(o.size()) {
		if len(b.outputs) == 0 {
			countBufferFull.Add(1)
			b.start = o.end()
			return
		}
		b.dropFirst(budget)
		countBufferFull.Add(1)
	}
	b.outputs = append(b.outputs, o)
}

// trim drops the outputs that end at or before a position.
func (b *outbox) trim(position uint32, budget *memoryBudget) {
	for len(b.outputs) > 0 && b.outputs[0].end() <= position {
		b.dropFirst(budget)
	}
	b.start = max(b.start, position)
}

func (b *outbox) dropFirst(budget *memoryBudget) {
	first := b.outputs[0]
	budget.release(first.size())
	b.outputs[0] = stepOutput{}
	b.outputs = b.outputs[1:]
	b.start = first.end()
}

// putExport replaces the export and drops the outputs that it covers. An export
// that is older or exceeds the budget is ignored.
func (b *outbox) putExport(e export, budget *memoryBudget) {
	if e.positions <= b.export.positions {
		return
	}
	if !budget.reserve(e.size()) {
		countBufferFull.Add(1)
		return
	}
	if b.export.positions > 0 {
		budget.release(b.export.size())
	}
	b.export = e
	b.trim(e.positions, budget)
}

// outputsFrom returns the outputs from a position on. ok is false if some of them
// are no longer held.
func (b *outbox) outputsFrom(position uint32) (out []stepOutput, ok bool) {
	if b.start > position {
		return nil, false
	}
	for _, o := range b.outputs {
		if o.end() > position {
			out = append(out, o)
		}
	}
	return out, true
}

// clear drops the outputs and the export and returns their memory to the budget.
func (b *outbox) clear(budget *memoryBudget) {
	for len(b.outputs) > 0 {
		b.dropFirst(budget)
	}
	if b.export.positions > 0 {
		budget.release(b.export.size())
	}
	b.export = export{}
}
