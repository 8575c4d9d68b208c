package saddlequota

import "time"

// window is the time for which granted retries count against the limit. It consists of
// the ten seconds over which retries are limited, and of two more seconds. These two
// seconds exceed the time for which an entry may hold a grant before using it.
const window = 12 * time.Second

// Table holds the granted retries by group. It is not safe for concurrent use.
type Table struct {
	leaderSince time.Time // when this replica became leader
	grants      map[string][]grant
}

type grant struct {
	at    time.Time
	count int
}

// New returns an empty table. StartTerm must be called when the replica becomes leader.
func New() *Table { return &Table{grants: map[string][]grant{}} }

// StartTerm resets the table of a replica that becomes leader. The grants of the previous
// leader are not known, so nothing is granted for a whole window.
func (t *Table) StartTerm(now time.Time) {
	t.leaderSince = now
	clear(t.grants)
}

// Grant grants a group up to want retries and returns their number. No more than limit
// are granted within any window.
func (t *Table) Grant(now time.Time, group string, want, limit int) int {
	if now.Sub(t.leaderSince) < window {
		return 0
	}
	var active []grant
	used := 0
	for _, g := range t.grants[group] {
		if now.Sub(g.at) < window {
			active = append(active, g)
			used += g.count
		}
	}
	granted := max(0, min(want, limit-used))
	if granted > 0 {
		active = append(active, grant{at: now, count: granted})
	}
	t.grants[group] = active
	return granted
}
