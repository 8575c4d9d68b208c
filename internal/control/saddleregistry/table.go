package saddleregistry

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// tombstoneTTL is how long the removal of a target is reported. A node that was
// disconnected for longer starts from a snapshot.
const tombstoneTTL = 2 * time.Minute

// Table holds the targets that report to one replica. It is not safe for concurrent
// use; the messages that it returns must not be changed.
type Table struct {
	timeout    time.Duration
	version    uint64
	records    map[string]*record
	tombstones map[string]tombstone
	changes    changeList
	// nextExpiry is a time before which no record expires, so that RemoveExpired can be called
	// after each event.
	nextExpiry time.Time

	byFingerprint map[uint64]*record
	byAddress     map[string][]*record
}

type record struct {
	registration  *saddlewire.Registration
	lastHeartbeat time.Time // of the target to this replica
	lastHeard     time.Time // of the target to any replica
	fingerprint   uint64
}

type tombstone struct {
	removedAt time.Time
}

// New returns an empty table. RemoveExpired removes the targets that send nothing for
// longer than timeout.
func New(timeout time.Duration) *Table {
	return &Table{
		timeout: timeout, records: map[string]*record{}, tombstones: map[string]tombstone{}, changes: newChangeList(),
		byFingerprint: map[uint64]*record{}, byAddress: map[string][]*record{},
	}
}

// Version counts the changes that must be sent to nodes.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of targets.
func (t *Table) Len() int { return len(t.records) }

// Find returns the registration of a target, nil when there is none.
func (t *Table) Find(id string) *saddlewire.Registration {
	if rec, ok := t.records[id]; ok {
		return rec.registration
	}
	return nil
}

// Put stores a registration and reports whether it must be sent to nodes. A registration
// that is not newer than the stored one, for example one delivered out of order, is
// ignored.
func (t *Table) Put(now time.Time, reg *saddlewire.Registration) bool {
	old, ok := t.records[reg.GetId()]
	if ok && !Newer(reg, old.registration) {
		return false
	}
	t.removePredecessors(reg)
	rec := &record{registration: reg, lastHeartbeat: now, lastHeard: now, fingerprint: fingerprint(reg)}
	if ok {
		t.unindex(old)
	}
	t.records[reg.GetId()] = rec
	t.byFingerprint[rec.fingerprint] = rec
	t.byAddress[reg.GetAddress()] = append(t.byAddress[reg.GetAddress()], rec)
	if ok && sameForSelection(old.registration, reg) {
		return false
	}
	t.markChanged(reg.GetId())
	delete(t.tombstones, reg.GetId())
	return true
}

// markChanged records a change of a target that must be sent to nodes.
func (t *Table) markChanged(id string) {
	t.version++
	t.changes.add(id, t.version)
}

// unindex removes a record from the indices by fingerprint and by address.
func (t *Table) unindex(rec *record) {
	delete(t.byFingerprint, rec.fingerprint)
	address := rec.registration.GetAddress()
	rest := slices.DeleteFunc(t.byAddress[address], func(r *record) bool { return r == rec })
	if len(rest) == 0 {
		delete(t.byAddress, address)
		return
	}
	t.byAddress[address] = rest
}

// removePredecessors removes earlier targets at the same address, since an address
// serves one target at a time.
func (t *Table) removePredecessors(reg *saddlewire.Registration) {
	for _, rec := range slices.Clone(t.byAddress[reg.GetAddress()]) { // remove changes the original
		id := rec.registration.GetId()
		if id != reg.GetId() && rec.registration.GetIncarnation() < reg.GetIncarnation() {
			t.remove(rec.lastHeard, id)
		}
	}
}

// Newer reports whether candidate supersedes current, a registration of the same target.
// The registration of a later incarnation supersedes that of an earlier one. Within an
// incarnation, the registration that was sent later supersedes the others. A registration
// that a probe of the target completed supersedes the same registration without the probe
// or with an earlier probe.
func Newer(candidate, current *saddlewire.Registration) bool {
	if candidate.GetIncarnation() != current.GetIncarnation() {
		return candidate.GetIncarnation() > current.GetIncarnation()
	}
	if candidate.GetSequence() != current.GetSequence() {
		return candidate.GetSequence() > current.GetSequence()
	}
	return candidate.GetLooked() > current.GetLooked()
}

// sameForSelection compares the fields that target selection depends on.
func sameForSelection(a, b *saddlewire.Registration) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetAddress() == b.GetAddress() &&
		a.GetGroup() == b.GetGroup() &&
		a.GetSlots() == b.GetSlots() &&
		a.GetLeaving() == b.GetLeaving() &&
		slices.EqualFunc(a.GetLayers(), b.GetLayers(), func(x, y *saddlewire.HeldLayers) bool { return proto.Equal(x, y) })
}

// fingerprint identifies what target selection depends on in a registration. Two
// registrations with the same fingerprint differ at most in how late they were sent.
func fingerprint(reg *saddlewire.Registration) uint64 {
	h := fnv.New64a()
	var buf []byte
	for _, s := range []string{reg.GetId(), reg.GetGroup(), reg.GetAddress()} {
		buf = append(binary.AppendUvarint(buf, uint64(len(s))), s...)
	}
	leaving := uint64(0)
	if reg.GetLeaving() {
		leaving = 1
	}
	for _, n := range []uint64{reg.GetIncarnation(), uint64(reg.GetSlots()), leaving} {
		buf = binary.AppendUvarint(buf, n)
	}
	for _, l := range reg.GetLayers() {
		for _, n := range []uint64{uint64(l.GetFrom()), uint64(l.GetTo()), l.GetVersion()} {
			buf = binary.AppendUvarint(buf, n)
		}
	}
	_, _ = h.Write(buf) // never fails
	return h.Sum64()
}

// HeardSince returns the fingerprints of the registrations that their targets sent to this
// replica after a time.
func (t *Table) HeardSince(since time.Time) []uint64 {
	var out []uint64
	for _, rec := range t.records {
		if rec.lastHeartbeat.After(since) {
			out = append(out, rec.fingerprint)
		}
	}
	return out
}

// MarkHeard records that targets sent their registrations to another replica. A target
// that reports to different replicas in turn therefore does not expire at each of them. A
// registration that differs from the one in this table is not marked, so that an outdated
// one expires.
func (t *Table) MarkHeard(now time.Time, fingerprints []uint64) {
	for _, f := range fingerprints {
		if rec, ok := t.byFingerprint[f]; ok {
			rec.lastHeard = now
		}
	}
}

// RemoveExpired removes the targets that have sent nothing to any replica for longer than
// the timeout and returns their ids.
func (t *Table) RemoveExpired(now time.Time) []string {
	if !now.After(t.nextExpiry) {
		return nil
	}
	var removed []string
	earliest := now
	for id, rec := range t.records {
		if now.Sub(rec.lastHeard) > t.timeout {
			t.remove(now, id)
			removed = append(removed, id)
		} else if rec.lastHeard.Before(earliest) {
			earliest = rec.lastHeard
		}
	}
	t.nextExpiry = earliest.Add(t.timeout)
	for id, ts := range t.tombstones {
		if now.Sub(ts.removedAt) > tombstoneTTL {
			delete(t.tombstones, id)
			t.changes.remove(id)
		}
	}
	slices.Sort(removed)
	return removed
}

func (t *Table) remove(now time.Time, id string) {
	if rec, ok := t.records[id]; ok {
		t.unindex(rec)
	}
	delete(t.records, id)
	t.tombstones[id] = tombstone{removedAt: now}
	t.markChanged(id)
}

// Since returns the registrations that changed after a table version, and the ids of the
// targets that were removed after it, the latest change first.
func (t *Table) Since(version uint64) (changed []*saddlewire.Registration, removed []string) {
	for id := range t.changes.since(version) {
		if rec, ok := t.records[id]; ok {
			changed = append(changed, rec.registration)
		} else {
			removed = append(removed, id)
		}
	}
	return changed, removed
}
