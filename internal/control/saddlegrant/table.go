package saddlegrant

import "time"

// Table holds the grants of one leader. It is soft state: a new leader learns
// from the heartbeats who loads. It is used by one goroutine.
type Table struct {
	limit int           // engines that load at the same time; 0: without bound
	stale time.Duration // a grant whose holder was not heard for so long is free
	from  time.Time     // no new grant before
	held  map[string]time.Time
}

// New returns an empty table.
func New(limit int, stale time.Duration) *Table {
	return &Table{limit: limit, stale: stale, held: map[string]time.Time{}}
}

// Lead begins the term of a new leader. Until every node had the time to say
// whether it loads, nothing new is granted.
func (t *Table) Lead(now time.Time) {
	clear(t.held)
	t.from = now.Add(t.stale)
}

// Note takes in what a node's heartbeat says: whether its engine still needs a
// load, and whether it carries one out. An engine that loads holds a grant,
// whoever gave it.
func (t *Table) Note(now time.Time, node string, needs, loading bool) {
	_, holds := t.held[node]
	switch {
	case loading || (needs && holds):
		t.held[node] = now
	default:
		delete(t.held, node)
	}
}

// Allow reports whether the engine of a node that needs a load may begin. A
// grant is held until the node no longer needs it or is not heard any more.
func (t *Table) Allow(now time.Time, node string) bool {
	if _, holds := t.held[node]; holds || t.limit == 0 {
		return true
	}
	t.sweep(now)
	if now.Before(t.from) || len(t.held) >= t.limit {
		return false
	}
	t.held[node] = now
	return true
}

// Held returns the number of grants.
func (t *Table) Held() int { return len(t.held) }

func (t *Table) sweep(now time.Time) {
	for node, heard := range t.held {
		if now.Sub(heard) > t.stale {
			delete(t.held, node)
		}
	}
}
