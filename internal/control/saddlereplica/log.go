package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	base     uint64 // index of the snapshot
	baseTerm uint64
	entries  []*saddlewire.LogEntry
}

// last returns the index of the last entry.
func (l *entryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// term returns the term of the entry at an index; ok is false when the log
// does not hold it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].GetTerm(), true
}

// slice returns the entries in (after, through].
func (l *entryLog) slice(after, through uint64) []*saddlewire.LogEntry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.base : through-l.base]
}

// truncate removes the entries from an index on.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.base-1]
}

// compact discards the entries up to an index that a snapshot covers.
func (l *entryLog) compact(index, term uint64) {
	if index >= l.last() {
		l.entries = nil
	} else {
		l.entries = append([]*saddlewire.LogEntry(nil), l.entries[index-l.base:]...)
	}
	l.base = index
	l.baseTerm = term
}

// filterHeld returns those of the entries that the log still holds.
func (l *entryLog) filterHeld(entries []*saddlewire.LogEntry) []*saddlewire.LogEntry {
	var out []*saddlewire.LogEntry
	for _, e := range entries {
		if e.GetIndex() <= l.base {
			continue
		}
		if term, ok := l.term(e.GetIndex()); ok && term == e.GetTerm() {
			out = append(out, e)
		}
	}
	return out
}
