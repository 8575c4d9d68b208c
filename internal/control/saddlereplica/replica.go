package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Replica is one member of the group. It is used by one goroutine.
type Replica struct {
	cfg  Config
	role Role
	err  error

	term   uint64
	vote   string
	leader string

	log     entryLog
	commit  uint64
	applied uint64

	members      *saddlewire.Membership
	membersIndex uint64

	votes    map[string]bool
	progress map[string]*progress

	deadline       time.Time // next election or heartbeat
	guard          time.Time // last message of any leader, or the start
	ledSince       time.Time
	confirmedAt    time.Time // last word of a leader with a lease
	confirmedIndex uint64    // what it had committed

	snapshot *saddlewire.Snapshot // latest, sent to replicas far behind
	incoming *saddlewire.Snapshot // received in part
	ready    Ready
}

// New returns a follower with the state that its store held. It grants no vote
// for an election timeout, because it may have heard a leader before.
func New(now time.Time, cfg Config, hard *saddlewire.HardState, snapshot *saddlewire.Snapshot, entries []*saddlewire.LogEntry) *Replica {
	r := &Replica{
		cfg:   cfg,
		term:  hard.GetTerm(),
		vote:  hard.GetVote(),
		guard: now,
	}
	r.log.base = snapshot.GetIndex()
	r.log.baseTerm = snapshot.GetTerm()
	r.log.entries = slices.Clone(entries)
	r.commit = snapshot.GetIndex()
	r.applied = snapshot.GetIndex()
	r.snapshot = snapshot
	r.useMembership()
	r.resetElection(now)
	return r
}

// Role returns what the replica is.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// LeaderID returns the known leader of the term, empty when unknown.
func (r *Replica) LeaderID() string { return r.leader }

// LogEmpty reports whether the log holds nothing yet: the group has not started,
// or this replica has not joined it.
func (r *Replica) LogEmpty() bool { return r.log.last() == 0 }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Err returns a *DiskLostError once the replica must not go on. It then asks
// for nothing and sends nothing.
func (r *Replica) Err() error { return r.err }

// MatchIndex returns the highest index known to be stored at a replica.
func (r *Replica) MatchIndex(id string) uint64 {
	if id == r.cfg.ID {
		return r.log.last()
	}
	if p, ok := r.progress[id]; ok {
		return p.match
	}
	return 0
}

// NextTick returns when Tick must be called at the latest.
func (r *Replica) NextTick() time.Time { return r.deadline }

// Tick lets time pass: it starts elections and sends heartbeats.
func (r *Replica) Tick(now time.Time) {
	if now.Before(r.deadline) || r.err != nil {
		return
	}
	if r.role != Leader {
		r.preCampaign(now)
		return
	}
	if r.lostMajority(now) {
		r.become(now, Follower, r.term, "")
		return
	}
	r.repair(now)
	r.broadcast(now)
	r.deadline = now.Add(r.cfg.HeartbeatInterval)
}

// Propose appends an entry at the leader and returns its index.
func (r *Replica) Propose(now time.Time, data []byte) (uint64, error) {
	if r.role != Leader {
		return 0, &fireflysaddle.NotLeaderError{Leader: r.leader}
	}
	index := r.append(&saddlewire.LogEntry{Data: data})
	r.replicate(now)
	return index, nil
}

// Ready returns what is to be done and forgets it.
func (r *Replica) Ready() Ready {
	if r.err != nil {
		return Ready{}
	}
	rd := r.ready
	if r.commit > r.applied {
		rd.Committed = slices.Clone(r.log.slice(r.applied, r.commit))
		r.applied = r.commit
	}
	r.ready = Ready{}
	return rd
}

// MarkStored tells a leader that the entries it was given by Ready are durable;
// only then do they count towards a majority.
func (r *Replica) MarkStored(now time.Time, index uint64) {
	if r.role != Leader {
		return
	}
	if p := r.progress[r.cfg.ID]; index > p.match {
		p.match = index
	}
	r.advanceCommit(now)
}

// MakeSnapshot returns a snapshot of the applied state, whose encoding is data,
// or nil when nothing was applied since the last one.
func (r *Replica) MakeSnapshot(data []byte) *saddlewire.Snapshot {
	if r.applied <= r.log.base {
		return nil
	}
	term, _ := r.log.term(r.applied)
	members, _ := r.membershipAt(r.applied)
	return &saddlewire.Snapshot{Index: r.applied, Term: term, Data: data, Membership: members}
}

// Compact replaces the applied entries up to a snapshot, once it is stored.
func (r *Replica) Compact(snapshot *saddlewire.Snapshot) {
	if snapshot.GetIndex() <= r.log.base || snapshot.GetIndex() > r.applied {
		return
	}
	r.log.compact(snapshot.GetIndex(), snapshot.GetTerm())
	r.snapshot = snapshot
	r.useMembership()
}

func (r *Replica) append(e *saddlewire.LogEntry) uint64 {
	e.Term = r.term
	e.Index = r.log.last() + 1
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

func (r *Replica) saveHard() {
	r.ready.HardState = &saddlewire.HardState{Term: r.term, Vote: r.vote}
}

func (r *Replica) resetElection(now time.Time) {
	spread := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.ElectionTimeout)))
	r.deadline = now.Add(r.cfg.ElectionTimeout + spread)
}

// become changes the role, and the term when it is a higher one.
func (r *Replica) become(now time.Time, role Role, term uint64, leader string) {
	if term > r.term {
		r.term = term
		r.vote = ""
		r.saveHard()
	}
	r.role = role
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.incoming = nil
	r.resetElection(now)
}
