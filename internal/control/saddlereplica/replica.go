package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Replica is one member of a Raft group. It is not safe for concurrent use.
type Replica struct {
	cfg  Config
	role Role
	err  error

	term     uint64
	votedFor string
	leader   string

	log         entryLog
	commitIndex uint64
	lastApplied uint64

	membership      *saddlewire.Membership
	membershipIndex uint64

	votes    map[string]bool
	progress map[string]*progress

	nextTick          time.Time // when the next pre-vote or heartbeat is due
	lastLeaderContact time.Time // when the latest message from a leader of any term arrived; initially the start time
	leaderSince       time.Time // when this replica became leader
	confirmedAt       time.Time // time as of which a leader with a valid lease last confirmed its commit index
	confirmedIndex    uint64    // highest commit index that a leader with a valid lease confirmed

	snapshot        *saddlewire.Snapshot // latest snapshot; sent to replicas that need compacted entries
	partialSnapshot *saddlewire.Snapshot // received chunks of an incomplete snapshot
	ready           Ready
}

// New returns a follower that resumes from persisted state. The follower grants no
// vote for one election timeout, because a leader's lease may depend on a reply that
// this replica sent before the restart.
func New(now time.Time, cfg Config, hard *saddlewire.HardState, snapshot *saddlewire.Snapshot, entries []*saddlewire.LogEntry) *Replica {
	r := &Replica{
		cfg:               cfg,
		term:              hard.GetTerm(),
		votedFor:          hard.GetVote(),
		lastLeaderContact: now,
	}
	r.log.snapshotIndex = snapshot.GetIndex()
	r.log.snapshotTerm = snapshot.GetTerm()
	r.log.entries = slices.Clone(entries)
	r.commitIndex = snapshot.GetIndex()
	r.lastApplied = snapshot.GetIndex()
	r.snapshot = snapshot
	r.refreshMembership()
	r.resetElectionTimeout(now)
	return r
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// LeaderID returns the leader of the current term, or an empty string if unknown.
func (r *Replica) LeaderID() string { return r.leader }

// LogEmpty reports whether the log never held an entry. This is so if the group has
// not started or this replica has not joined it.
func (r *Replica) LogEmpty() bool { return r.log.lastIndex() == 0 }

// CommitIndex returns the highest index known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// Err returns a *DiskLostError once the replica has detected the loss of its
// disk. From then on it is stopped and Ready returns nothing.
func (r *Replica) Err() error { return r.err }

// MatchIndex returns the highest index that the leader knows to be stored at
// another replica, or 0 if this replica is not the leader or does not track the
// other replica. For its own id it returns the last index of its log, which may not be
// durable yet.
func (r *Replica) MatchIndex(id string) uint64 {
	if id == r.cfg.ID {
		return r.log.lastIndex()
	}
	if p, ok := r.progress[id]; ok {
		return p.matchIndex
	}
	return 0
}

// NextTick returns the time by which Tick must be called.
func (r *Replica) NextTick() time.Time { return r.nextTick }

// Tick does nothing before the time that NextTick returns. From that time on, a
// leader that has lost its quorum steps down. Any other leader advances a pending
// replacement and sends heartbeats. A voter that is not the leader starts a pre-vote.
func (r *Replica) Tick(now time.Time) {
	if now.Before(r.nextTick) || r.err != nil {
		return
	}
	if r.role != Leader {
		r.startPreVote(now)
		return
	}
	if r.lostQuorum(now) {
		r.become(now, Follower, r.term, "")
		return
	}
	r.advanceReplacement(now)
	r.broadcast(now)
	r.nextTick = now.Add(r.cfg.HeartbeatInterval)
}

// Propose appends an entry at the leader and returns its index. On any other
// replica it returns a *fireflysaddle.NotLeaderError.
func (r *Replica) Propose(now time.Time, data []byte) (uint64, error) {
	if r.role != Leader {
		return 0, &fireflysaddle.NotLeaderError{Leader: r.leader}
	}
	index := r.appendEntry(&saddlewire.LogEntry{Data: data})
	r.replicate(now)
	return index, nil
}

// Ready returns the pending work and clears it.
func (r *Replica) Ready() Ready {
	if r.err != nil {
		return Ready{}
	}
	rd := r.ready
	if r.commitIndex > r.lastApplied {
		rd.Committed = slices.Clone(r.log.slice(r.lastApplied, r.commitIndex))
		r.lastApplied = r.commitIndex
	}
	r.ready = Ready{}
	return rd
}

// MarkStored records that the leader's own entries up to an index are durable.
// Only then do they count towards a majority.
func (r *Replica) MarkStored(now time.Time, index uint64) {
	if r.role != Leader {
		return
	}
	if p := r.progress[r.cfg.ID]; index > p.matchIndex {
		p.matchIndex = index
	}
	r.advanceCommit(now)
}

// MakeSnapshot returns a snapshot that holds data, which must be the encoded
// applied state. It returns nil if no entry was applied since the latest snapshot.
func (r *Replica) MakeSnapshot(data []byte) *saddlewire.Snapshot {
	if r.lastApplied <= r.log.snapshotIndex {
		return nil
	}
	term, _ := r.log.term(r.lastApplied)
	members, _ := r.membershipAt(r.lastApplied)
	return &saddlewire.Snapshot{Index: r.lastApplied, Term: term, Data: data, Membership: members}
}

// Compact discards the log entries that a snapshot covers. The caller must have
// stored the snapshot before. A snapshot is ignored if it is not newer than the
// latest one or covers entries that are not yet applied.
func (r *Replica) Compact(snapshot *saddlewire.Snapshot) {
	if snapshot.GetIndex() <= r.log.snapshotIndex || snapshot.GetIndex() > r.lastApplied {
		return
	}
	r.log.compact(snapshot.GetIndex(), snapshot.GetTerm())
	r.snapshot = snapshot
	r.refreshMembership()
}

func (r *Replica) appendEntry(e *saddlewire.LogEntry) uint64 {
	e.Term = r.term
	e.Index = r.log.lastIndex() + 1
	r.log.entries = append(r.log.entries, e)
	r.ready.Entries = append(r.ready.Entries, e)
	return e.GetIndex()
}

func (r *Replica) send(m *saddlewire.Message) {
	m.From = r.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	r.ready.Messages = append(r.ready.Messages, m)
}

func (r *Replica) saveHardState() {
	r.ready.HardState = &saddlewire.HardState{Term: r.term, Vote: r.votedFor}
}

func (r *Replica) resetElectionTimeout(now time.Time) {
	jitter := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.nextTick = now.Add(r.cfg.ElectionTimeout + jitter)
}

// become changes the role and leader, and adopts the term if it is higher. It
// discards the votes, the replication progress and a partly received snapshot, and
// resets the election timeout.
func (r *Replica) become(now time.Time, role Role, term uint64, leader string) {
	if term > r.term {
		r.term = term
		r.votedFor = ""
		r.saveHardState()
	}
	r.role = role
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.partialSnapshot = nil
	r.resetElectionTimeout(now)
}
