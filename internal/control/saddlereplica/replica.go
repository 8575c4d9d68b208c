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

	term   uint64
	vote   string
	leader string

	log     entryLog
	commit  uint64
	applied uint64

	votes    map[string]bool
	progress map[string]*progress

	deadline  time.Time // next election or heartbeat
	heardFrom time.Time // last message of a leader of this term

	snapshot *saddlewire.Snapshot // latest, sent to replicas far behind
	ready    Ready
}

// New returns a follower with the state that its store held.
func New(now time.Time, cfg Config, hard *saddlewire.HardState, snapshot *saddlewire.Snapshot, entries []*saddlewire.LogEntry) *Replica {
	r := &Replica{
		cfg:  cfg,
		term: hard.GetTerm(),
		vote: hard.GetVote(),
	}
	r.log.base = snapshot.GetIndex()
	r.log.baseTerm = snapshot.GetTerm()
	r.log.entries = slices.Clone(entries)
	r.commit = snapshot.GetIndex()
	r.applied = snapshot.GetIndex()
	r.snapshot = snapshot
	r.resetElection(now)
	return r
}

// Role returns what the replica is.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.term }

// LeaderID returns the known leader of the term, empty when unknown.
func (r *Replica) LeaderID() string { return r.leader }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// Match returns the highest index known to be stored at a replica.
func (r *Replica) Match(id string) uint64 {
	if id == r.cfg.ID {
		return r.log.last()
	}
	if p, ok := r.progress[id]; ok {
		return p.match
	}
	return 0
}

// Next returns when Tick must be called at the latest.
func (r *Replica) Next() time.Time { return r.deadline }

// Tick lets time pass: it starts elections and sends heartbeats.
func (r *Replica) Tick(now time.Time) {
	if now.Before(r.deadline) {
		return
	}
	if r.role != Leader {
		r.preCampaign(now)
		return
	}
	if !r.LeaseValid(now) && now.Sub(r.heardFrom) > r.cfg.Election {
		r.become(now, Follower, r.term, "")
		return
	}
	r.broadcast(now)
	r.deadline = now.Add(r.cfg.Heartbeat)
}

// Propose appends an entry at the leader and returns its index.
func (r *Replica) Propose(now time.Time, data []byte) (uint64, error) {
	if r.role != Leader {
		return 0, &fireflysaddle.NotLeaderError{Leader: r.leader}
	}
	index := r.append(data)
	r.broadcast(now)
	return index, nil
}

// Ready returns what is to be done and forgets it.
func (r *Replica) Ready() Ready {
	rd := r.ready
	if r.commit > r.applied {
		rd.Committed = slices.Clone(r.log.slice(r.applied, r.commit))
		r.applied = r.commit
	}
	r.ready = Ready{}
	return rd
}

// Stored tells a leader that the entries it was given by Ready are durable;
// only then do they count towards a majority.
func (r *Replica) Stored(now time.Time, index uint64) {
	if r.role != Leader {
		return
	}
	if p := r.progress[r.cfg.ID]; index > p.match {
		p.match = index
	}
	r.advanceCommit(now)
}

// Compact replaces the applied entries up to a snapshot.
func (r *Replica) Compact(snapshot *saddlewire.Snapshot) {
	if snapshot.GetIndex() <= r.log.base || snapshot.GetIndex() > r.applied {
		return
	}
	r.log.compact(snapshot.GetIndex(), snapshot.GetTerm())
	r.snapshot = snapshot
}

// TermAt returns the term of an entry that the log still holds.
func (r *Replica) TermAt(index uint64) uint64 {
	term, _ := r.log.term(index)
	return term
}

// LeaseValid reports whether no other replica can lead at this time: a
// majority answered messages sent less than an election timeout ago, and a
// replica that heard from a leader grants no vote for that long.
func (r *Replica) LeaseValid(now time.Time) bool {
	if r.role != Leader {
		return false
	}
	fresh := 0
	for id, p := range r.progress {
		if id == r.cfg.ID || now.Sub(p.acked) < r.leaseLength() {
			fresh++
		}
	}
	committed, _ := r.log.term(r.commit)
	return fresh >= r.quorum() && committed == r.term
}

// Confirmed reports whether the applied state was confirmed by a majority a
// short while ago: at the leader by its lease, elsewhere by the leader's word.
func (r *Replica) Confirmed(now time.Time) bool {
	if r.role == Leader {
		return r.LeaseValid(now)
	}
	return r.leader != "" && now.Sub(r.heardFrom) < r.cfg.Election
}

// leaseLength leaves a tenth of the election timeout for clock drift.
func (r *Replica) leaseLength() time.Duration {
	return r.cfg.Election * 9 / 10
}

func (r *Replica) quorum() int {
	return len(r.cfg.Voters)/2 + 1
}

func (r *Replica) append(data []byte) uint64 {
	e := &saddlewire.LogEntry{Term: r.term, Index: r.log.last() + 1, Data: data}
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
	r.ready.Hard = &saddlewire.HardState{Term: r.term, Vote: r.vote}
}

func (r *Replica) resetElection(now time.Time) {
	spread := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Election)))
	r.deadline = now.Add(r.cfg.Election + spread)
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
	r.resetElection(now)
}
