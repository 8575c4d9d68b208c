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

// hard is the state of a replica that has voted before.
func hard(term uint64) *saddlewire.HardState { return &saddlewire.HardState{Term: term} }

// entries returns a log of n entries of one term.
func entries(n, term uint64) []*saddlewire.LogEntry {
	var out []*saddlewire.LogEntry
	for i := range n {
		out = append(out, &saddlewire.LogEntry{Term: term, Index: i + 1})
	}
	return out
}

// drive persists and hands back what a replica asks for.
func drive(now time.Time, r *saddlereplica.Replica) []*saddlewire.Message {
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

func granted(out []*saddlewire.Message) bool {
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

var three = []string{"a", "b", "c"}

// elect makes a replica the leader of the term after the one it is in, with
// the given voters' answers.
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
		t.Fatalf("role %s, expected the leader", r.Role())
	}
}

func ack(from string, term, index uint64, sent time.Time) *saddlewire.Message {
	return &saddlewire.Message{
		Type: saddlewire.Message_APPEND_REPLY, From: from, To: "a", Term: term, Index: index, SentNs: sent.UnixNano(),
	}
}

// A leader's lease rests on its followers' refusal to vote; a follower that
// restarts must keep to it though it has forgotten the leader.
func TestRestartedReplicaGrantsNoVoteForOneElectionTimeout(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", three, hard(5), entries(3, 5))
	for _, kind := range []saddlewire.Message_Type{saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE} {
		r.Step(start.Add(election/2), &saddlewire.Message{Type: kind, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
		is.True(!granted(drive(start, r))) // the lease of the leader of term 5 may be valid
	}
	r.Step(start.Add(election), &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
	is.True(granted(drive(start, r)))
}

// A late rejection with a higher term makes a follower forget its leader; the
// leader's lease goes on.
func TestHigherTermDoesNotShortenRefusalToVote(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", three, hard(5), entries(3, 5))
	now := start.Add(2 * election)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 5, Index: 3, LogTerm: 5})
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "c", To: "b", Term: 6, Reject: true})
	drive(now, r)
	r.Step(now.Add(election/2), &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 6, Index: 3, LogTerm: 5})
	is.True(!granted(drive(now, r)))
}

// A leader whose messages arrive while the answers of the majority are lost
// must step down, else the followers hear it and never elect another.
func TestLeaderHeardByAllAndHearingOneOfFiveStepsDown(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", []string{"a", "b", "c", "d", "e"}, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b", "c")
	for range 20 {
		drive(now, r)
		now = now.Add(heartbeat)
		r.Step(now, ack("b", 2, 2, now))
		r.Tick(now)
	}
	is.True(r.Role() != saddlereplica.Leader)
}

// A new leader may vouch only for what it has applied, not for what it has
// just learned to be committed.
func TestLeaseNeedsEntryOfOwnTermApplied(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", three, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	drive(now, r)
	r.Step(now, ack("b", 2, 2, now))
	is.True(!r.LeaseValid(now)) // committed, not applied: a read now would be stale
	r.Ready()
	is.True(r.LeaseValid(now))
}

// A follower that is behind has heard the leader, but its state is old.
func TestFollowerBehindItsLeaderIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", three, hard(1), entries(1, 1))
	r.Step(start, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 9, LogTerm: 1, Commit: 9})
	is.True(!r.Confirmed(start))
}

// A replacement may listen at the address of the replica that it replaces.
func TestMessageToAnotherReplicaIsDropped(t *testing.T) {
	is := is.New(t)
	r := newReplica("d", []string{"a", "b", "d"}, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "a", To: "c", Term: 6, Index: 3, LogTerm: 5})
	is.True(!granted(drive(now, r)))
	is.Equal(r.Term(), uint64(1))
}

// The snapshot goes to a follower that is far behind once, not with each
// heartbeat.
func TestSnapshotIsNotResentWithEachHeartbeat(t *testing.T) {
	is := is.New(t)
	r := saddlereplica.New(start, config("a", three), hard(1), &saddlewire.Snapshot{Index: 9, Term: 1, Data: make([]byte, 100)}, nil)
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, From: "c", To: "a", Term: 2, Reject: true, SentNs: now.UnixNano()})
	sent := 0
	for range 3 {
		for _, m := range drive(now, r) {
			if m.GetType() == saddlewire.Message_SNAPSHOT && m.GetTo() == "c" {
				sent++
			}
		}
		now = now.Add(heartbeat)
		r.Tick(now)
	}
	is.Equal(sent, 1)
}

// A snapshot that replaces a log drops the entries received just before it.
func TestSnapshotDropsConflictingEntriesNotYetStored(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", three, hard(1), entries(1, 1))
	r.Step(start, &saddlewire.Message{
		Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: entries(9, 1)[1:],
	})
	snapshot := &saddlewire.Snapshot{Index: 5, Term: 2, Data: []byte("x")}
	r.Step(start, &saddlewire.Message{Type: saddlewire.Message_SNAPSHOT, From: "c", To: "b", Term: 2, Snapshot: snapshot, Size: 1})
	rd := r.Ready()
	is.Equal(rd.Snapshot.GetIndex(), uint64(5))
	is.Equal(len(rd.Entries), 0) // entries 2 to 9 of term 1 conflict with the snapshot
}

// A voter with an empty disk beside voters that hold data has lost its disk.
func TestVoterWithLostDiskNeitherVotesNorFollows(t *testing.T) {
	for name, m := range map[string]*saddlewire.Message{
		"vote":     {Type: saddlewire.Message_VOTE, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
		"pre-vote": {Type: saddlewire.Message_PRE_VOTE, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
		"append":   {Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 6, Index: 3, LogTerm: 5},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newReplica("b", three, nil, nil)
			now := start.Add(2 * election)
			r.Step(now, m)
			is.True(!granted(drive(now, r)))
			is.Equal(r.Term(), uint64(0)) // it stays blank
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

// A heartbeat that waited while the process stood still confirms only what was
// so before.
func TestLateHeartbeatConfirmsNothingNewer(t *testing.T) {
	is := is.New(t)
	r := newReplica("b", three, hard(1), entries(1, 1))
	beat := &saddlewire.Message{
		Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Commit: 1,
		Confirmed: true, EchoNs: start.UnixNano(),
	}
	r.Step(start.Add(heartbeat), beat)
	r.Ready()
	is.True(r.Confirmed(start.Add(heartbeat)))
	thawed := start.Add(10 * election)
	r.Step(thawed, beat)
	is.True(!r.Confirmed(thawed))
}
