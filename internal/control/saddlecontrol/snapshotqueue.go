package saddlecontrol

import (
	"slices"
	"sync"
)

const (
	// largeRegistry is the number of targets from which entries take turns to get snapshots.
	largeRegistry = 1000
	// maxSnapshots is the number of large snapshots that a replica sends at once. Hundreds of
	// entries that start together would share its link, so that none gets a snapshot before it
	// takes the replica for silent, and the encoded snapshots would fill the memory.
	maxSnapshots = 8
)

// snapshotQueue grants turns to send large snapshots, first to the entries whose first source
// this replica is. So that every entry soon has one snapshot, the replicas begin with different
// entries. It is safe for concurrent use.
type snapshotQueue struct {
	mu      sync.Mutex
	granted int
	first   []*snapshotTurn
	others  []*snapshotTurn
}

// snapshotTurn is a place in the queue.
type snapshotTurn struct {
	granted chan struct{} // closed when the turn comes
}

// join returns a place in the queue. leave must be called when the snapshot has been sent or is
// no longer needed.
func (q *snapshotQueue) join(first bool) *snapshotTurn {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &snapshotTurn{granted: make(chan struct{})}
	if first {
		q.first = append(q.first, t)
	} else {
		q.others = append(q.others, t)
	}
	q.grant()
	return t
}

// leave ends a turn, or gives up a place in the queue.
func (q *snapshotQueue) leave(t *snapshotTurn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case <-t.granted:
		q.granted--
	default:
		same := func(other *snapshotTurn) bool { return other == t }
		q.first, q.others = slices.DeleteFunc(q.first, same), slices.DeleteFunc(q.others, same)
	}
	q.grant()
}

func (q *snapshotQueue) grant() {
	for q.granted < maxSnapshots && len(q.first)+len(q.others) > 0 {
		list := &q.first
		if len(q.first) == 0 {
			list = &q.others
		}
		close((*list)[0].granted)
		*list = (*list)[1:]
		q.granted++
	}
}
