package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// entryLog holds the entries after the last snapshot.
type entryLog struct {
	snapshotIndex uint64 // last index that the snapshot covers
	snapshotTerm  uint64
	entries       []*saddlewire.LogEntry
}

// lastIndex returns the index of the last entry.
func (l *entryLog) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

// term returns the term of the entry at an index; ok is false when the log
// does not hold it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].GetTerm(), true
}

// slice returns the entries with an index in (after, through].
func (l *entryLog) slice(after, through uint64) []*saddlewire.LogEntry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.snapshotIndex : through-l.snapshotIndex]
}

// truncate removes the entry at an index and all later ones.
func (l *entryLog) truncate(index uint64) {
	l.entries = l.entries[:index-l.snapshotIndex-1]
}

// compact discards the entries that a snapshot covers. index and term are those of
// the last entry that it covers.
func (l *entryLog) compact(index, term uint64) {
	if index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]*saddlewire.LogEntry(nil), l.entries[index-l.snapshotIndex:]...)
	}
	l.snapshotIndex = index
	l.snapshotTerm = term
}

// filterHeld returns the given entries that are still in the log, at the same
// index and with the same term.
func (l *entryLog) filterHeld(entries []*saddlewire.LogEntry) []*saddlewire.LogEntry {
	var out []*saddlewire.LogEntry
	for _, e := range entries {
		if e.GetIndex() <= l.snapshotIndex {
			continue
		}
		if term, ok := l.term(e.GetIndex()); ok && term == e.GetTerm() {
			out = append(out, e)
		}
	}
	return out
}
