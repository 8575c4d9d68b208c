package saddlelimit

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// evenShare is the fraction of a limit that is divided evenly, in addition to the demand, so
// that an entry without demand can begin to send.
const evenShare = 0.1

// Table holds the limits that targets stated to entries, and sums the demands of the entries.
// It is not safe for concurrent use.
type Table struct {
	entries int
	targets map[targetKey]*target
}

// targetKey identifies a start of a target.
type targetKey struct {
	id          string
	incarnation uint64
}

func (k targetKey) compare(other targetKey) int {
	return cmp.Or(cmp.Compare(k.id, other.id), cmp.Compare(k.incarnation, other.incarnation))
}

func keyOf(l *saddlewire.TargetLimit) targetKey {
	return targetKey{id: l.GetTarget(), incarnation: l.GetIncarnation()}
}

type target struct {
	demand  uint64         // sum of the entries' demands
	reports int            // number of entries that report it
	limits  map[uint64]int // number of entries to which the target stated a limit, by limit
}

// New returns a table without entries.
func New() *Table { return &Table{targets: map[targetKey]*target{}} }

// Add adds the report of a member.
func (t *Table) Add(m *saddlewire.Member) {
	if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry {
		return
	}
	t.entries++
	for _, l := range m.GetLoad().GetLimits() {
		s, ok := t.targets[keyOf(l)]
		if !ok {
			s = &target{limits: map[uint64]int{}}
			t.targets[keyOf(l)] = s
		}
		s.demand += l.GetDemand()
		s.reports++
		if l.GetLimit() > 0 {
			s.limits[l.GetLimit()]++
		}
	}
}

// Remove removes the report of a member that was added before.
func (t *Table) Remove(m *saddlewire.Member) {
	if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry {
		return
	}
	t.entries--
	for _, l := range m.GetLoad().GetLimits() {
		s := t.targets[keyOf(l)]
		s.demand -= l.GetDemand()
		s.reports--
		if s.limits[l.GetLimit()]--; s.limits[l.GetLimit()] <= 0 {
			delete(s.limits, l.GetLimit())
		}
		if s.reports == 0 {
			delete(t.targets, keyOf(l))
		}
	}
}

// AddTo adds all limits, with the shares of one entry, to an update for that entry. The shares
// of all entries add up to 1. Where entries report different limits, the lowest one counts.
func (t *Table) AddTo(u *saddlewire.Update, entry *saddlewire.Member) {
	for _, key := range slices.SortedFunc(maps.Keys(t.targets), targetKey.compare) {
		s := t.targets[key]
		if len(s.limits) == 0 {
			continue
		}
		limit := slices.Min(slices.Collect(maps.Keys(s.limits)))
		even := evenShare * float64(limit)
		share := 1 / float64(max(1, t.entries))
		if total := float64(s.demand) + even; total > 0 {
			share = (float64(demandOf(entry, key)) + even*share) / total
		}
		u.Limits = append(u.Limits, &saddlewire.LimitShare{Target: key.id, Incarnation: key.incarnation, Limit: limit, Share: share})
	}
}

// demandOf returns an entry's demand for a target.
func demandOf(entry *saddlewire.Member, key targetKey) uint64 {
	for _, l := range entry.GetLoad().GetLimits() {
		if keyOf(l) == key {
			return l.GetDemand()
		}
	}
	return 0
}
