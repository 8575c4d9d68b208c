package saddleregistry

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// goneKept is how long it is told that a target has fallen silent; a node that
// was out of touch for longer starts from a snapshot.
const goneKept = 2 * time.Minute

// Table holds the targets that report to one replica. It is used by one
// goroutine; the messages that it hands out must not be changed.
type Table struct {
	silence time.Duration
	version uint64
	records map[string]*record
	gone    map[string]departed
}

type record struct {
	registration *saddlewire.Registration
	heard        time.Time
	version      uint64 // of the last change that others must know
}

type departed struct {
	at      time.Time
	version uint64
}

// New returns an empty table. A target that is silent for longer than silence is
// removed.
func New(silence time.Duration) *Table {
	return &Table{silence: silence, records: map[string]*record{}, gone: map[string]departed{}}
}

// Version counts the changes that others must know.
func (t *Table) Version() uint64 { return t.version }

// Find returns the registration of a target, nil when there is none.
func (t *Table) Find(id string) *saddlewire.Registration {
	if rec, ok := t.records[id]; ok {
		return rec.registration
	}
	return nil
}

// Take takes in a registration and reports whether others must know of it. One
// that was overtaken on its way changes nothing.
func (t *Table) Take(now time.Time, reg *saddlewire.Registration) bool {
	old, ok := t.records[reg.GetId()]
	if ok && !Newer(reg, old.registration) {
		return false
	}
	t.dropPredecessors(reg)
	rec := &record{registration: reg, heard: now}
	t.records[reg.GetId()] = rec
	if ok && sameToOthers(old.registration, reg) {
		rec.version = old.version
		return false
	}
	t.version++
	rec.version = t.version
	delete(t.gone, reg.GetId())
	return true
}

// dropPredecessors removes those that had the address before: an address serves
// one target at a time.
func (t *Table) dropPredecessors(reg *saddlewire.Registration) {
	for id, rec := range t.records {
		if id != reg.GetId() && rec.registration.GetAddress() == reg.GetAddress() &&
			rec.registration.GetIncarnation() < reg.GetIncarnation() {
			t.remove(rec.heard, id)
		}
	}
}

// Newer reports whether a registration goes before another of the same target:
// it is of a later start, of the same start and sent later, or completed by what
// was learnt of the target since.
func Newer(a, b *saddlewire.Registration) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	if a.GetSequence() != b.GetSequence() {
		return a.GetSequence() > b.GetSequence()
	}
	return a.GetLooked() > b.GetLooked()
}

// sameToOthers compares what choosing a target depends on.
func sameToOthers(a, b *saddlewire.Registration) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetAddress() == b.GetAddress() &&
		a.GetGroup() == b.GetGroup() &&
		a.GetSlots() == b.GetSlots() &&
		a.GetLeaving() == b.GetLeaving() &&
		slices.EqualFunc(a.GetLayers(), b.GetLayers(), func(x, y *saddlewire.HeldLayers) bool { return proto.Equal(x, y) })
}

// Sweep removes the targets that have been silent for too long and returns them.
func (t *Table) Sweep(now time.Time) []string {
	var lost []string
	for id, rec := range t.records {
		if now.Sub(rec.heard) > t.silence {
			t.remove(now, id)
			lost = append(lost, id)
		}
	}
	for id, g := range t.gone {
		if now.Sub(g.at) > goneKept {
			delete(t.gone, id)
		}
	}
	slices.Sort(lost)
	return lost
}

func (t *Table) remove(now time.Time, id string) {
	t.version++
	delete(t.records, id)
	t.gone[id] = departed{at: now, version: t.version}
}

// Since returns the registrations that changed and the targets that fell silent
// after a version.
func (t *Table) Since(version uint64) (changed []*saddlewire.Registration, gone []string) {
	if version == t.version {
		return nil, nil
	}
	for _, rec := range t.records {
		if rec.version > version {
			changed = append(changed, rec.registration)
		}
	}
	for id, g := range t.gone {
		if g.version > version {
			gone = append(gone, id)
		}
	}
	return changed, gone
}
