package saddlereplica_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Ready returns a vote for persistence together with the reply that grants it, so
// a restarted replica does not vote for another candidate in that term.
func TestVoteSurvivesRestart(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * election)
	voteRequest := func(from string) *saddlewire.Message {
		return &saddlewire.Message{Type: saddlewire.Message_VOTE, From: from, To: "b", Term: 2, Index: 1, LogTerm: 1}
	}
	r := newReplica("b", threeIDs, hardState(1), entries(1, 1))
	r.Step(now, voteRequest("a"))
	rd := r.Ready()
	is.True(grantsVote(rd.Messages))
	is.Equal(rd.HardState.GetTerm(), uint64(2))
	is.Equal(rd.HardState.GetVote(), "a")
	r = newReplica("b", threeIDs, rd.HardState, entries(1, 1))
	r.Step(now, voteRequest("c"))
	is.True(!grantsVote(drainReady(now, r)))
	r.Step(now, voteRequest("a"))
	is.True(grantsVote(drainReady(now, r))) // repeats the same vote
}

// An entry of an earlier term may be overwritten even if a majority stored it. It
// is committed only with an entry of the current term.
func TestEntryOfEarlierTermIsCommittedOnlyWithOneOfCurrentTerm(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", threeIDs, hardState(3), entries(2, 2))
	now := start.Add(2 * election)
	elect(t, r, now, 4, "b")
	drainReady(now, r)
	r.Step(now, ack("b", 4, 2, now)) // entry 2 is of term 2
	is.Equal(r.CommitIndex(), uint64(0))
	r.Step(now, ack("b", 4, 3, now))
	is.Equal(r.CommitIndex(), uint64(3))
}

// An entry is committed once a majority stored it. The leader's own copy does not
// count before it is durable.
func TestLeadersEntryDoesNotCountBeforeStored(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", threeIDs, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	r.Step(now, ack("b", 2, 2, now))
	is.Equal(r.CommitIndex(), uint64(0))
	r.Ready()
	r.MarkStored(now, 2)
	is.Equal(r.CommitIndex(), uint64(2))
}

// A new group needs the votes of all its replicas. If a majority sufficed, two of
// three replicas with lost disks could form a second group.
func TestMajorityWithEmptyDisksStartsNoGroup(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * election)
	r := newReplica("a", threeIDs, nil, nil)
	r.Tick(now)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "b", To: "a", Term: 1})
	is.Equal(r.Term(), uint64(0))
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "c", To: "a", Term: 1})
	is.Equal(r.Role(), saddlereplica.Candidate)
}

// newLeader returns the leader of a group of three in term 2 with a valid lease.
func newLeader(t *testing.T) (*saddlereplica.Replica, time.Time) {
	t.Helper()
	r := newReplica("a", threeIDs, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	drainReady(now, r)
	r.Step(now, ack("b", 2, 2, now))
	drainReady(now, r)
	if !r.LeaseValid(now) {
		t.Fatal("the leader has no lease")
	}
	return r, now
}

// Two concurrent membership changes could have majorities that do not overlap.
func TestOneMembershipChangeAtATime(t *testing.T) {
	is := is.New(t)
	r, now := newLeader(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	_, err = r.RemoveReplica(now, "c")
	var refused *saddlereplica.MembershipError
	is.True(errors.As(err, &refused))
	repeatedIndex, err := r.AddReplica(now, "d", "d", "c")
	is.True(repeatedIndex == 0 && (err == nil || errors.As(err, &refused)))
}

// A membership change is not reported before it is committed. Guards against a
// replacement that was reported as complete while the removal of the old replica
// could still be overwritten; the loss of another VM then left two of four voters.
func TestMembersAreReportedOnceCommitted(t *testing.T) {
	is := is.New(t)
	r, now := newLeader(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drainReady(now, r)
	is.Equal(len(r.Members()), 4)
	is.Equal(len(r.CommittedMembers()), 3)
	r.Step(now, ack("b", 2, 3, now))
	drainReady(now, r)
	is.Equal(len(r.CommittedMembers()), 4)
}

// A learner counts towards no majority until it has caught up and is promoted.
// Only then is the replaced replica removed.
func TestReplacementVotesOnceCaughtUp(t *testing.T) {
	is := is.New(t)
	r, now := newLeader(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drainReady(now, r)
	r.Step(now, ack("d", 2, 3, now))
	is.Equal(r.CommitIndex(), uint64(2)) // a learner's reply commits nothing
	r.Step(now, ack("b", 2, 3, now))
	is.Equal(r.CommitIndex(), uint64(3))
	drainReady(now, r)
	is.Equal(voters(r), []string{"a", "b", "c"})

	steps := [][]string{{"a", "b", "c", "d"}, {"a", "b", "d"}}
	for i, want := range steps {
		now = now.Add(heartbeat)
		r.Step(now, ack("b", 2, 3+uint64(i), now))
		r.Step(now, ack("d", 2, 3+uint64(i), now))
		drainReady(now, r)
		r.Tick(now)
		drainReady(now, r)
		is.Equal(voters(r), want)
	}
}

// A learner that has not caught up is not promoted.
func TestLearnerThatIsBehindGetsNoVote(t *testing.T) {
	is := is.New(t)
	r, now := newLeader(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drainReady(now, r)
	r.Step(now, ack("b", 2, 3, now))
	r.Step(now, ack("d", 2, 1, now))
	drainReady(now, r)
	now = now.Add(heartbeat)
	r.Tick(now)
	is.Equal(voters(r), []string{"a", "b", "c"})
}

func voters(r *saddlereplica.Replica) []string {
	var out []string
	for _, p := range r.Members() {
		if p.GetVoter() {
			out = append(out, p.GetId())
		}
	}
	return out
}

// A group without voters could not elect a leader.
func TestLastVoterIsNotRemoved(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", []string{"a"}, hardState(1), entries(1, 1))
	now := start.Add(2 * election)
	r.Tick(now)
	drainReady(now, r)
	is.True(r.LeaseValid(now))
	_, err := r.RemoveReplica(now, "a")
	var refused *saddlereplica.MembershipError
	is.True(errors.As(err, &refused))
}

// A lease must end before a replica that answered the leader may vote again.
func TestLeaseEndsBeforeOthersMayVote(t *testing.T) {
	is := is.New(t)
	r, now := newLeader(t)
	is.True(r.LeaseValid(now.Add(election / 2)))
	is.True(!r.LeaseValid(now.Add(election * 9 / 10)))

	b := newReplica("b", threeIDs, hardState(2), entries(2, 2))
	b.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 2})
	drainReady(now, b)
	voteRequest := &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 3, Index: 2, LogTerm: 2}
	b.Step(now.Add(election*19/20), voteRequest)
	is.True(!grantsVote(drainReady(now, b)))
	b.Step(now.Add(election), voteRequest)
	is.True(grantsVote(drainReady(now, b)))
}

// A candidate whose log is not up to date could overwrite committed entries.
func TestCandidateThatLacksEntriesGetsNoVote(t *testing.T) {
	for name, last := range map[string]struct{ index, term uint64 }{
		"shorter":             {2, 2},
		"longer, older term":  {9, 1},
		"shorter, older term": {1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start.Add(2 * election)
			for _, kind := range []saddlewire.Message_Type{saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE} {
				r := newReplica("b", threeIDs, hardState(2), entries(3, 2))
				r.Step(now, &saddlewire.Message{Type: kind, From: "c", To: "b", Term: 3, Index: last.index, LogTerm: last.term})
				is.True(!grantsVote(drainReady(now, r)))
			}
		})
	}
}
