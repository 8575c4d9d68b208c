package saddlestore_test

import (
	"fmt"
	"strings"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// storeRecord is one record passed to a store. Exactly one of its fields is set.
type storeRecord struct {
	hard     *saddlewire.HardState
	entry    *saddlewire.LogEntry
	snapshot *saddlewire.Snapshot
}

func (r storeRecord) apply(s *saddlestore.Store) error {
	switch {
	case r.hard != nil:
		return s.SetHardState(r.hard)
	case r.snapshot != nil:
		return s.SetSnapshot(r.snapshot)
	}
	return s.Append([]*saddlewire.LogEntry{r.entry})
}

// batch is a sequence of records that are synced together.
type batch []storeRecord

func (b batch) apply(s *saddlestore.Store) error {
	for _, r := range b {
		if err := r.apply(s); err != nil {
			return err
		}
	}
	return s.Sync()
}

func entries(term uint64, indexes ...uint64) batch {
	var b batch
	for _, i := range indexes {
		b = append(b, storeRecord{entry: &saddlewire.LogEntry{Term: term, Index: i, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)}})
	}
	return b
}

func hardState(term uint64, vote string) batch {
	return batch{{hard: &saddlewire.HardState{Term: term, Vote: vote}}}
}

func snapshotAt(index, term uint64) batch {
	return batch{{snapshot: &saddlewire.Snapshot{Index: index, Term: term, Data: []byte("state")}}}
}

// model is an in-memory reference implementation of the store.
type model struct {
	hard     *saddlewire.HardState
	snapshot *saddlewire.Snapshot
	terms    map[uint64]uint64 // term of each entry after the snapshot, by index
}

func newModel() *model { return &model{terms: map[uint64]uint64{}} }

func (m *model) apply(r storeRecord) {
	switch {
	case r.hard != nil:
		m.hard = r.hard
	case r.entry != nil:
		m.removeFrom(r.entry.GetIndex())
		m.terms[r.entry.GetIndex()] = r.entry.GetTerm()
	default:
		if m.terms[r.snapshot.GetIndex()] != r.snapshot.GetTerm() {
			m.removeFrom(0)
		}
		for i := range m.terms {
			if i <= r.snapshot.GetIndex() {
				delete(m.terms, i)
			}
		}
		m.snapshot = r.snapshot
	}
}

func (m *model) removeFrom(index uint64) {
	for i := range m.terms {
		if i >= index {
			delete(m.terms, i)
		}
	}
}

func (m *model) String() string {
	loaded := saddlestore.Loaded{Hard: m.hard, Snapshot: m.snapshot}
	for i := m.snapshot.GetIndex() + 1; m.terms[i] > 0; i++ {
		loaded.Entries = append(loaded.Entries, &saddlewire.LogEntry{Index: i, Term: m.terms[i]})
	}
	return describe(loaded)
}

func describe(loaded saddlestore.Loaded) string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %q snapshot %d/%d:", loaded.Hard.GetTerm(), loaded.Hard.GetVote(), loaded.Snapshot.GetIndex(), loaded.Snapshot.GetTerm())
	for _, e := range loaded.Entries {
		fmt.Fprintf(&b, " %d/%d", e.GetIndex(), e.GetTerm())
	}
	return b.String()
}

// allowedStates returns the states that a store may hold after it stored some
// batches of the workload and was interrupted in the next one.
func allowedStates(stored int) []string {
	m := newModel()
	for _, b := range workload[:stored] {
		for _, r := range b {
			m.apply(r)
		}
	}
	out := []string{m.String()}
	if stored == len(workload) {
		return out
	}
	for _, r := range workload[stored] {
		m.apply(r)
		out = append(out, m.String())
	}
	return out
}
