package saddlegrant

import "time"

// Table holds the grants of one leader. It is soft state: a new leader rebuilds it from
// the heartbeats of the loading engines. The table is not safe for concurrent use.
type Table struct {
	limit     int                  // engines that may load at the same time; 0: no limit
	timeout   time.Duration        // time without heartbeats after which a grant expires
	notBefore time.Time            // earliest time of a new grant
	holders   map[string]time.Time // nodes with a grant, each with the time of its grant or, if later, of its latest heartbeat
}

// New returns an empty table.
func New(limit int, timeout time.Duration) *Table {
	return &Table{limit: limit, timeout: timeout, holders: map[string]time.Time{}}
}

// StartTerm resets the table for a new leader. No new grants are given for one timeout,
// in which every node can report whether its engine is loading.
func (t *Table) StartTerm(now time.Time) {
	clear(t.holders)
	t.notBefore = now.Add(t.timeout)
}

// RecordHeartbeat stores whether a node's engine waits to load and whether it is
// loading. A loading engine holds a grant, even if an earlier leader granted it.
func (t *Table) RecordHeartbeat(now time.Time, node string, needsLoad, loading bool) {
	_, holds := t.holders[node]
	switch {
	case loading || (needsLoad && holds):
		t.holders[node] = now
	default:
		delete(t.holders, node)
	}
}

// Allow reports whether the engine of a node may start to load, and records the grant if
// so. The grant lasts until the node no longer needs it or its heartbeats stop for longer
// than the timeout. Without a limit, every engine may load and no grant is recorded.
func (t *Table) Allow(now time.Time, node string) bool {
	if _, holds := t.holders[node]; holds || t.limit == 0 {
		return true
	}
	t.removeExpired(now)
	if now.Before(t.notBefore) || len(t.holders) >= t.limit {
		return false
	}
	t.holders[node] = now
	return true
}

// Len returns the number of grants.
func (t *Table) Len() int { return len(t.holders) }

func (t *Table) removeExpired(now time.Time) {
	for node, lastHeartbeat := range t.holders {
		if now.Sub(lastHeartbeat) > t.timeout {
			delete(t.holders, node)
		}
	}
}
