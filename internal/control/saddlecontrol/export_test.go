package saddlecontrol

// MaxSnapshots is the number of large snapshots that a replica sends at once.
const MaxSnapshots = maxSnapshots

// IsFirstSource is isFirstSource.
var IsFirstSource = isFirstSource

// SnapshotQueue is a queue of snapshots.
type SnapshotQueue struct{ q snapshotQueue }

// SnapshotTurn is a place in a SnapshotQueue.
type SnapshotTurn struct{ t *snapshotTurn }

// Join joins the queue.
func (q *SnapshotQueue) Join(first bool) SnapshotTurn { return SnapshotTurn{q.q.join(first)} }

// Leave leaves the queue.
func (q *SnapshotQueue) Leave(t SnapshotTurn) { q.q.leave(t.t) }

// Granted reports whether the turn has come.
func (t SnapshotTurn) Granted() bool {
	select {
	case <-t.t.granted:
		return true
	default:
		return false
	}
}
