package saddlestage

// outbox keeps the outcomes that a stage handed on since the last export of
// the next stage, and that export. The table's lock guards it.
type outbox struct {
	from     uint32 // first position whose outcome is held
	outcomes []outcome
	export   export
}

// add keeps an outcome. Where there is no room, the oldest are dropped.
func (b *outbox) add(o outcome, r *room) {
	for !r.take(o.size()) {
		if len(b.outcomes) == 0 {
			countBufferFull.Add(1)
			b.from = o.end()
			return
		}
		b.dropFirst(r)
		countBufferFull.Add(1)
	}
	b.outcomes = append(b.outcomes, o)
}

// trim drops the outcomes before a position.
func (b *outbox) trim(position uint32, r *room) {
	for len(b.outcomes) > 0 && b.outcomes[0].end() <= position {
		b.dropFirst(r)
	}
	b.from = max(b.from, position)
}

func (b *outbox) dropFirst(r *room) {
	first := b.outcomes[0]
	r.give(first.size())
	b.outcomes[0] = outcome{}
	b.outcomes = b.outcomes[1:]
	b.from = first.end()
}

// put replaces the export and drops the outcomes that it covers. An older one,
// and one for which there is no room, is dropped.
func (b *outbox) put(e export, r *room) {
	if e.positions <= b.export.positions {
		return
	}
	if !r.take(e.size()) {
		countBufferFull.Add(1)
		return
	}
	if b.export.positions > 0 {
		r.give(b.export.size())
	}
	b.export = e
	b.trim(e.positions, r)
}

// since returns the outcomes from a position on; ok is false when some of them
// are no longer held.
func (b *outbox) since(position uint32) (out []outcome, ok bool) {
	if b.from > position {
		return nil, false
	}
	for _, o := range b.outcomes {
		if o.end() > position {
			out = append(out, o)
		}
	}
	return out, true
}

// clear gives all the room back.
func (b *outbox) clear(r *room) {
	for len(b.outcomes) > 0 {
		b.dropFirst(r)
	}
	if b.export.positions > 0 {
		r.give(b.export.size())
	}
	b.export = export{}
}
