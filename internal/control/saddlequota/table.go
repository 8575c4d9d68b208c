package saddlequota

import "time"

// window is the time over which what was granted counts: the ten seconds in which
// repeated sendings are bounded, and the time that an entry may keep a grant.
const window = 12 * time.Second

// Table holds what was granted. It is used by one goroutine.
type Table struct {
	since   time.Time // this replica leads
	byGroup map[string][]grant
}

type grant struct {
	at    time.Time
	count int
}

// New returns a table of a replica that does not lead.
func New() *Table { return &Table{byGroup: map[string][]grant{}} }

// Lead notes that this replica begins to lead. What the leader before it granted is
// not known, so nothing is granted for a whole window.
func (t *Table) Lead(now time.Time) {
	t.since = now
	clear(t.byGroup)
}

// Take grants up to a number of sendings to a group, so that within any window no
// more than limit are granted.
func (t *Table) Take(now time.Time, group string, want, limit int) int {
	if now.Sub(t.since) < window {
		return 0
	}
	var kept []grant
	used := 0
	for _, g := range t.byGroup[group] {
		if now.Sub(g.at) < window {
			kept = append(kept, g)
			used += g.count
		}
	}
	n := max(0, min(want, limit-used))
	if n > 0 {
		kept = append(kept, grant{at: now, count: n})
	}
	t.byGroup[group] = kept
	return n
}
