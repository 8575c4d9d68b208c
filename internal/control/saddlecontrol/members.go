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
	draftTotal map[string]uint64 // tokens that the drafts of all entries reserve, by data centre
}

type memberRecord struct {
	member        *saddlewire.Member
	lastHeartbeat time.Time
	version       uint64 // table version at the last change that must be sent to subscribers
}

type tombstone struct {
	removedAt time.Time
	version   uint64
}

func newMemberTable() *memberTable {
	return &memberTable{members: map[string]*memberRecord{}, tombstones: map[string]tombstone{}, draftTotal: map[string]uint64{}}
}

// record stores a heartbeat and reports whether a change must be sent to subscribers.
// A heartbeat of an earlier incarnation is dropped.
func (t *memberTable) record(now time.Time, m *saddlewire.Member) bool {
	old, ok := t.members[m.GetNode()]
	if ok && m.GetIncarnation() < old.member.GetIncarnation() {
		return false
	}
	rec := &memberRecord{member: m, lastHeartbeat: now}
	if ok {
		t.subtractDrafts(old.member)
	}
	t.addDrafts(m)
	t.members[m.GetNode()] = rec
	if ok && sameForSubscribers(old.member, m) {
		rec.version = old.version
		return false
	}
	t.version++
	rec.version = t.version
	delete(t.tombstones, m.GetNode())
	return true
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
		slices.Equal(a.GetSuspects(), b.GetSuspects()) &&
		slices.Equal(a.GetFailing(), b.GetFailing()) &&
		slices.Equal(a.GetSlow(), b.GetSlow()) &&
		proto.Equal(a.GetTarget(), b.GetTarget())
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
		t.subtractDrafts(rec.member)
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
// the members that were lost after it.
func (t *memberTable) changesSince(version uint64) (members []*saddlewire.Member, removed []string) {
	if version == t.version {
		return nil, nil
	}
	for _, rec := range t.members {
		if rec.version > version {
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

func (t *memberTable) addDrafts(m *saddlewire.Member) {
	for _, d := range m.GetLoad().GetDrafts() {
		t.draftTotal[d.GetCentre()] += d.GetTokens()
	}
}

func (t *memberTable) subtractDrafts(m *saddlewire.Member) {
	for _, d := range m.GetLoad().GetDrafts() {
		t.draftTotal[d.GetCentre()] -= d.GetTokens()
	}
}

// peerDrafts returns the tokens that the drafts of all entries but the given one reserve,
// by data centre.
func (t *memberTable) peerDrafts(entry string) []*saddlewire.CentreLoad {
	own := map[string]uint64{}
	if rec, ok := t.members[entry]; ok {
		for _, d := range rec.member.GetLoad().GetDrafts() {
			own[d.GetCentre()] += d.GetTokens()
		}
	}
	var out []*saddlewire.CentreLoad
	for _, centre := range slices.Sorted(maps.Keys(t.draftTotal)) {
		if tokens := t.draftTotal[centre] - own[centre]; tokens > 0 {
			out = append(out, &saddlewire.CentreLoad{Centre: centre, Tokens: tokens})
		}
	}
	return out
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
