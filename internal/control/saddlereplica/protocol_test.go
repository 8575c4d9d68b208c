package saddlereplica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	heartbeat = 100 * time.Millisecond
	election  = 600 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// hardState returns the persisted state of a replica in a term.
func hardState(term uint64) *saddlewire.HardState { return &saddlewire.HardState{Term: term} }

// entries returns a log of n entries of one term.
func entries(n, term uint64) []*saddlewire.LogEntry {
	var out []*saddlewire.LogEntry
	for i := range n {
		out = append(out, &saddlewire.LogEntry{Term: term, Index: i + 1})
	}
	return out
}

// drainReady marks all pending entries as stored and returns the messages.
func drainReady(now time.Time, r *saddlereplica.Replica) []*saddlewire.Message {
	var out []*saddlewire.Message
	for {
		rd := r.Ready()
		out = append(out, rd.Messages...)
		if len(rd.Entries) == 0 {
			return out
		}
		r.MarkStored(now, rd.Entries[len(rd.Entries)-1].GetIndex())
	}
}

func grantsVote(out []*saddlewire.Message) bool {
	for _, m := range out {
		vote := m.GetType() == saddlewire.Message_VOTE_REPLY || m.GetType() == saddlewire.Message_PRE_VOTE_REPLY
		if vote && !m.GetReject() {
			return true
		}
	}
	return false
}

func newReplica(id string, voters []string, h *saddlewire.HardState, log []*saddlewire.LogEntry) *saddlereplica.Replica {
	return saddlereplica.New(start, config(id, voters), h, &saddlewire.Snapshot{}, log)
}

var threeIDs = []string{"a", "b", "c"}

// elect makes replica "a" the leader of a term with the votes of the given voters.
// The term must be one higher than the replica's current term.
func elect(t *testing.T, r *saddlereplica.Replica, now time.Time, term uint64, voters ...string) {
	t.Helper()
	r.Tick(now)
	for _, v := range voters {
		r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: v, To: "a", Term: term})
	}
	for _, v := range voters {
		r.Step(now, &saddlewire.Message{Type: saddlewire.Message_VOTE_REPLY, From: v, To: "a", Term: term})
	}
	if r.Role() != saddlereplica.Leader {
		t.Fatalf("role %s, want leader", r.Role())
	}
}

func ack(from string, term, index uint64, sent time.Time) *saddlewire.Message {
	return &saddlewire.Message{
		Type: saddlewire.Message_APPEND_REPLY, From: from, To: "a", Term: term, Index: index, SentNs: sent.UnixNano(),
	}
}

// A leader's lease depends on followers that refuse to vote. A restarted follower
// must refuse as well, although it has no record of the leader.
func TestRestartedReplicaGrantsNoVoteForOneElectionTimeout(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", threeIDs, hardState(5), entries(3, 5))
	for _, kind := range []saddlewire.Message_Type{saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE} {
		r.Step(start.Add(election/2), &saddlewire.Message{Type: kind, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
		is.True(!grantsVote(drainReady(start, r))) // the lease of the leader of term 5 may be valid
	}
	r.Step(start.Add(election), &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
	is.True(grantsVote(drainReady(start, r)))
}

// A delayed rejection with a higher term makes a follower clear its leader, whose
// lease is still valid. The follower must continue to refuse votes.
func TestHigherTermDoesNotShortenRefusalToVote(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", threeIDs, hardState(5), entries(3, 5))
	now := start.Add(2 * election)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 5, Index: 3, LogTerm: 5})
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "c", To: "b", Term: 6, Reject: true})
	drainReady(now, r)
	r.Step(now.Add(election/2), &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
	is.True(!grantsVote(drainReady(now, r)))
}

// A leader whose heartbeats arrive but which gets no replies from a majority must
// step down. Otherwise the followers never elect another leader.
func TestLeaderWithoutRepliesOfMajorityStepsDown(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", []string{"a", "b", "c", "d", "e"}, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b", "c")
	for range 20 {
		drainReady(now, r)
		now = now.Add(heartbeat)
		r.Step(now, ack("b", 2, 2, now))
		r.Tick(now)
	}
	is.True(r.Role() != saddlereplica.Leader)
}

// A new leader must not serve reads before it has applied an entry of its own term.
// That the entry is committed does not suffice.
func TestLeaseNeedsEntryOfOwnTermApplied(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", threeIDs, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	drainReady(now, r)
	r.Step(now, ack("b", 2, 2, now))
	is.True(!r.LeaseValid(now)) // committed, not applied: a read now would be stale
	r.Ready()
	is.True(r.LeaseValid(now))
}

// A follower that is behind has recent contact with the leader, but its state is
// stale.
func TestFollowerBehindItsLeaderIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", threeIDs, hardState(1), entries(1, 1))
	r.Step(start, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 9, LogTerm: 1, Commit: 9})
	is.True(!r.Confirmed(start))
}

// A replacement may use the address of the replica that it replaces. It then
// receives messages to the replaced replica and must drop them.
func TestMessageToAnotherReplicaIsDropped(t *testing.T) {
	is := is.New(t)
	r := newReplica("d", []string{"a", "b", "d"}, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "a", To: "c", Term: 6, Index: 3, LogTerm: 5})
	is.True(!grantsVote(drainReady(now, r)))
	is.Equal(r.Term(), uint64(1))
}

// A leader sends a snapshot to a lagging follower once, not with each heartbeat.
func TestSnapshotIsNotResentWithEachHeartbeat(t *testing.T) {
	is := is.New(t)
	r := saddlereplica.New(start, config("a", threeIDs), hardState(1), &saddlewire.Snapshot{Index: 9, Term: 1, Data: make([]byte, 100)}, nil)
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, From: "c", To: "a", Term: 2, Reject: true, SentNs: now.UnixNano()})
	snapshotsSent := 0
	for range 3 {
		for _, m := range drainReady(now, r) {
			if m.GetType() == saddlewire.Message_SNAPSHOT && m.GetTo() == "c" {
				snapshotsSent++
			}
		}
		now = now.Add(heartbeat)
		r.Tick(now)
	}
	is.Equal(snapshotsSent, 1)
}

// A snapshot that replaces the log must also drop conflicting entries that were
// received just before it and are not yet persisted.
func TestSnapshotDropsConflictingEntriesNotYetStored(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", threeIDs, hardState(1), entries(1, 1))
	r.Step(start, &saddlewire.Message{
		Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: entries(9, 1)[1:],
	})
	snapshot := &saddlewire.Snapshot{Index: 5, Term: 2, Data: []byte("x")}
	r.Step(start, &saddlewire.Message{Type: saddlewire.Message_SNAPSHOT, From: "c", To: "b", Term: 2, Snapshot: snapshot, Size: 1})
	rd := r.Ready()
	is.Equal(rd.Snapshot.GetIndex(), uint64(5))
	is.Equal(len(rd.Entries), 0) // entries 2 to 9 of term 1 conflict with the snapshot
}

// A voter with an empty disk that receives a message about existing entries has
// lost its disk and must not take part.
func TestVoterWithLostDiskNeitherVotesNorFollows(t *testing.T) {
	for name, m := range map[string]*saddlewire.Message{
		"vote":     {Type: saddlewire.Message_VOTE, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
		"pre-vote": {Type: saddlewire.Message_PRE_VOTE, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
		"append":   {Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReplica("b", threeIDs, nil, nil)
			now := start.Add(2 * election)
			r.Step(now, m)
			is.True(!grantsVote(drainReady(now, r)))
			is.Equal(r.Term(), uint64(0)) // it adopts no term
		})
	}
}

func config(id string, voters []string) saddlereplica.Config {
	return saddlereplica.Config{
		ID: id, Members: members(voters...), HeartbeatInterval: heartbeat, ElectionTimeout: election, Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

// members returns a membership of voters.
func members(ids ...string) *saddlewire.Membership {
	m := &saddlewire.Membership{}
	for _, id := range ids {
		m.Replicas = append(m.Replicas, &saddlewire.Peer{Id: id, Address: id, Voter: true})
	}
	return m
}

// A heartbeat that is processed long after it was sent, here after a pause of the
// process, must not confirm the state as of the time of its processing.
func TestDelayedHeartbeatDoesNotExtendConfirmation(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", threeIDs, hardState(1), entries(1, 1))
	heartbeatMessage := &saddlewire.Message{
		Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Commit: 1,
		Confirmed: true, EchoNs: start.UnixNano(),
	}
	r.Step(start.Add(heartbeat), heartbeatMessage)
	r.Ready()
	is.True(r.Confirmed(start.Add(heartbeat)))
	resumed := start.Add(10 * election)
	r.Step(resumed, heartbeatMessage)
	is.True(!r.Confirmed(resumed))
}
