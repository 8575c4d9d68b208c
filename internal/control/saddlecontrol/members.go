package saddlecontrol

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// goneKept is how long the loss of a member is told to those who attend; a
// stream silent for longer is dropped, so none misses it.
const goneKept = 2 * time.Minute

// memberTable holds what the heartbeats say. It is soft state: it is not in
// the log and is gathered anew after a restart.
type memberTable struct {
	version uint64
	members map[string]*memberRecord
	gone    map[string]goneRecord
}

type memberRecord struct {
	member  *saddlewire.Member
	heard   time.Time
	version uint64 // of the last change that others must know
}

type goneRecord struct {
	at      time.Time
	version uint64
}

func newMemberTable() *memberTable {
	return &memberTable{members: map[string]*memberRecord{}, gone: map[string]goneRecord{}}
}

// beat takes in a heartbeat and reports whether others must know of a change.
// A heartbeat of an earlier incarnation is dropped.
func (t *memberTable) beat(now time.Time, m *saddlewire.Member) bool {
	old, ok := t.members[m.GetNode()]
	if ok && m.GetIncarnation() < old.member.GetIncarnation() {
		return false
	}
	rec := &memberRecord{member: m, heard: now}
	t.members[m.GetNode()] = rec
	if ok && sameToOthers(old.member, m) {
		rec.version = old.version
		return false
	}
	t.version++
	rec.version = t.version
	delete(t.gone, m.GetNode())
	return true
}

// sameToOthers compares what choosing a target depends on; load is not part of
// it, because agents report it with their answers.
func sameToOthers(a, b *saddlewire.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetLeaving() == b.GetLeaving() &&
		a.GetAddress() == b.GetAddress() &&
		a.GetAdmin() == b.GetAdmin() &&
		slices.Equal(a.GetSuspects(), b.GetSuspects()) &&
		slices.Equal(a.GetSlow(), b.GetSlow()) &&
		proto.Equal(a.GetTarget(), b.GetTarget())
}

// sweep removes the silent members and returns their names.
func (t *memberTable) sweep(now time.Time, silence time.Duration) []string {
	var lost []string
	for node, rec := range t.members {
		if now.Sub(rec.heard) < silence {
			continue
		}
		t.version++
		delete(t.members, node)
		t.gone[node] = goneRecord{at: now, version: t.version}
		lost = append(lost, node)
	}
	for node, g := range t.gone {
		if now.Sub(g.at) > goneKept {
			delete(t.gone, node)
		}
	}
	slices.Sort(lost)
	return lost
}

// since returns what changed after a version.
func (t *memberTable) since(version uint64) (members []*saddlewire.Member, gone []string) {
	if version == t.version {
		return nil, nil
	}
	for _, rec := range t.members {
		if rec.version > version {
			members = append(members, rec.member)
		}
	}
	for node, g := range t.gone {
		if g.version > version {
			gone = append(gone, node)
		}
	}
	return members, gone
}

// loads returns what the drafts of each entry take.
func (t *memberTable) loads() []*saddlewire.EntryLoad {
	var out []*saddlewire.EntryLoad
	for node, rec := range t.members {
		if drafts := rec.member.GetLoad().GetDrafts(); len(drafts) > 0 {
			out = append(out, &saddlewire.EntryLoad{Node: node, Drafts: drafts})
		}
	}
	return out
}

// needsLoad reports whether a member's engine is to load something.
func (t *memberTable) needsLoad(node string) bool {
	rec, ok := t.members[node]
	return ok && rec.member.GetNeedsLoad()
}

// all returns the members by name.
func (t *memberTable) all() []*saddlewire.Member {
	out := make([]*saddlewire.Member, 0, len(t.members))
	for _, node := range slices.Sorted(maps.Keys(t.members)) {
		out = append(out, t.members[node].member)
	}
	return out
}
