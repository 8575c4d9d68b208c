package saddlestore_test

import (
	"fmt"
	"strings"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// step is one record given to a store; one of its fields is set.
type step struct {
	hard     *saddlewire.HardState
	entry    *saddlewire.LogEntry
	snapshot *saddlewire.Snapshot
}

func (st step) apply(s *saddlestore.Store) error {
	switch {
	case st.hard != nil:
		return s.SetHardState(st.hard)
	case st.snapshot != nil:
		return s.SetSnapshot(st.snapshot)
	}
	return s.Append([]*saddlewire.LogEntry{st.entry})
}

// change is a row of steps that are synced together.
type change []step

func (c change) apply(s *saddlestore.Store) error {
	for _, st := range c {
		if err := st.apply(s); err != nil {
			return err
		}
	}
	return s.Sync()
}

func put(term uint64, indexes ...uint64) change {
	var c change
	for _, i := range indexes {
		c = append(c, step{entry: &saddlewire.LogEntry{Term: term, Index: i, Data: fmt.Appendf(nil, "entry %d of term %d", i, term)}})
	}
	return c
}

func vote(term uint64, id string) change {
	return change{{hard: &saddlewire.HardState{Term: term, Vote: id}}}
}

func snap(index, term uint64) change {
	return change{{snapshot: &saddlewire.Snapshot{Index: index, Term: term, Data: []byte("state")}}}
}

// model says what a store must hold, by maps and not by files.
type model struct {
	hard     *saddlewire.HardState
	snapshot *saddlewire.Snapshot
	terms    map[uint64]uint64 // of the entries after the snapshot, by index
}

func newModel() *model { return &model{terms: map[uint64]uint64{}} }

func (m *model) apply(st step) {
	switch {
	case st.hard != nil:
		m.hard = st.hard
	case st.entry != nil:
		m.dropFrom(st.entry.GetIndex())
		m.terms[st.entry.GetIndex()] = st.entry.GetTerm()
	default:
		if m.terms[st.snapshot.GetIndex()] != st.snapshot.GetTerm() {
			m.dropFrom(0)
		}
		for i := range m.terms {
			if i <= st.snapshot.GetIndex() {
				delete(m.terms, i)
			}
		}
		m.snapshot = st.snapshot
	}
}

func (m *model) dropFrom(index uint64) {
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

func describe(l saddlestore.Loaded) string {
	var b strings.Builder
	fmt.Fprintf(&b, "term %d vote %q snapshot %d/%d:", l.Hard.GetTerm(), l.Hard.GetVote(), l.Snapshot.GetIndex(), l.Snapshot.GetTerm())
	for _, e := range l.Entries {
		fmt.Fprintf(&b, " %d/%d", e.GetIndex(), e.GetTerm())
	}
	return b.String()
}

// allowed returns what a store may hold after some changes were stored, with
// the next one under way.
func allowed(done int) []string {
	m := newModel()
	for _, c := range history[:done] {
		for _, st := range c {
			m.apply(st)
		}
	}
	out := []string{m.String()}
	if done == len(history) {
		return out
	}
	for _, st := range history[done] {
		m.apply(st)
		out = append(out, m.String())
	}
	return out
}
