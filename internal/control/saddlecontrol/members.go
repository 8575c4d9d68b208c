package saddlecontrol

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// tombstoneTTL is how long the loss of a member is reported to subscribers. A stream
// without heartbeats for longer is closed, so no subscriber misses a loss.
const tombstoneTTL = 2 * time.Minute

// memberTable holds the members as their heartbeats describe them. It is soft state:
// it is not in the log and is rebuilt from heartbeats after a restart.
type memberTable struct {
	version    uint64
	members    map[string]*memberRecord
	tombstones map[string]tombstone
	reports    entryReports
}

type memberRecord struct {
	member        *saddlewire.Member
	lastHeartbeat time.Time
	sentNs        int64  // time of its clock at which the member sent that heartbeat
	version       uint64 // table version at the last change that must be sent to subscribers
	reportVersion uint64 // table version at the last change of what the member reports of targets
}

// memberChange says what a heartbeat changed.
type memberChange int

const (
	memberUnchanged memberChange = iota
	// memberReportChanged: only what the member reports of targets. Entries receive it as
	// counts, and control processes as part of the member.
	memberReportChanged
	// memberChanged: a change that all subscribers receive.
	memberChanged
)

type tombstone struct {
	removedAt time.Time
	version   uint64
}

func newMemberTable() *memberTable {
	return &memberTable{members: map[string]*memberRecord{}, tombstones: map[string]tombstone{}, reports: newEntryReports()}
}

// outdated reports whether a heartbeat is of an earlier incarnation, or was sent before the
// latest one. After a reconnection a node has two streams for a while, whose heartbeats may
// arrive in another order.
func (t *memberTable) outdated(m *saddlewire.Member, sentNs int64) bool {
	old, ok := t.members[m.GetNode()]
	if !ok || m.GetIncarnation() > old.member.GetIncarnation() {
		return false
	}
	return m.GetIncarnation() < old.member.GetIncarnation() || sentNs < old.sentNs
}

// record stores a heartbeat that is not outdated and returns what it changed.
func (t *memberTable) record(now time.Time, m *saddlewire.Member, sentNs int64) memberChange {
	old, ok := t.members[m.GetNode()]
	rec := &memberRecord{member: m, lastHeartbeat: now, sentNs: sentNs}
	if ok {
		t.reports.remove(old.member)
		rec.version, rec.reportVersion = old.version, old.reportVersion
	}
	t.reports.add(m)
	t.members[m.GetNode()] = rec
	switch {
	case !ok || !sameForSubscribers(old.member, m):
		t.version++
		rec.version = t.version
		delete(t.tombstones, m.GetNode())
		return memberChanged
	case !sameReports(old.member, m):
		t.version++
		rec.reportVersion = t.version
		return memberReportChanged
	}
	return memberUnchanged
}

// sameForSubscribers reports whether two records of a member are equal in all fields whose
// changes must be sent to subscribers. These are the fields that target selection depends
// on, and the admin address. Load is not among them, because agents report it with their
// answers.
func sameForSubscribers(a, b *saddlewire.Member) bool {
	return a.GetIncarnation() == b.GetIncarnation() &&
		a.GetLeaving() == b.GetLeaving() &&
		a.GetAddress() == b.GetAddress() &&
		a.GetAdmin() == b.GetAdmin() &&
		proto.Equal(a.GetTarget(), b.GetTarget())
}

// sameReports reports whether two records of a member report the same of the targets.
func sameReports(a, b *saddlewire.Member) bool {
	return slices.Equal(a.GetSuspects(), b.GetSuspects()) &&
		slices.Equal(a.GetFailing(), b.GetFailing()) &&
		slices.Equal(a.GetSlow(), b.GetSlow()) &&
		slices.EqualFunc(a.GetBlames(), b.GetBlames(), sameBlame) &&
		slices.Equal(a.GetHarmless(), b.GetHarmless())
}

// sameBlame reports whether two reports blame the same, whenever they were sent.
func sameBlame(a, b *saddlewire.Blame) bool {
	return a.GetTarget() == b.GetTarget() && slices.Equal(a.GetTraits(), b.GetTraits())
}

// removeExpired removes the members without a heartbeat for the given time and returns
// their names.
func (t *memberTable) removeExpired(now time.Time, timeout time.Duration) []string {
	var removed []string
	for node, rec := range t.members {
		if now.Sub(rec.lastHeartbeat) < timeout {
			continue
		}
		t.version++
		t.reports.remove(rec.member)
		delete(t.members, node)
		t.tombstones[node] = tombstone{removedAt: now, version: t.version}
		removed = append(removed, node)
	}
	for node, ts := range t.tombstones {
		if now.Sub(ts.removedAt) > tombstoneTTL {
			delete(t.tombstones, node)
		}
	}
	slices.Sort(removed)
	return removed
}

// changesSince returns the members that changed after a table version, and the names of
// the members that were lost after it. With reports, members of which only their reports
// changed are included.
func (t *memberTable) changesSince(version uint64, reports bool) (members []*saddlewire.Member, removed []string) {
	if version == t.version {
		return nil, nil
	}
	for _, rec := range t.members {
		if rec.version > version || (reports && rec.reportVersion > version) {
			members = append(members, rec.member)
		}
	}
	for node, ts := range t.tombstones {
		if ts.version > version {
			removed = append(removed, node)
		}
	}
	return members, removed
}

// find returns a member, or nil if there is none.
func (t *memberTable) find(node string) *saddlewire.Member {
	if rec, ok := t.members[node]; ok {
		return rec.member
	}
	return nil
}

// needsLoad reports whether a member's engine waits for a grant to load weights.
func (t *memberTable) needsLoad(node string) bool {
	rec, ok := t.members[node]
	return ok && rec.member.GetNeedsLoad()
}

// sorted returns the members in the order of their names.
func (t *memberTable) sorted() []*saddlewire.Member {
	out := make([]*saddlewire.Member, 0, len(t.members))
	for _, node := range slices.Sorted(maps.Keys(t.members)) {
		out = append(out, t.members[node].member)
	}
	return out
}
