package saddlereplica_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A vote is given to be stored together with the message that grants it, and
// a replica that comes back with it does not vote twice in the term.
func TestVoteOutlivesRestart(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * election)
	ask := func(from string) *saddlewire.Message {
		return &saddlewire.Message{Type: saddlewire.Message_VOTE, From: from, To: "b", Term: 2, Index: 1, LogTerm: 1}
	}
	r := newReplica("b", three, hard(1), entries(1, 1))
	r.Step(now, ask("a"))
	rd := r.Ready()
	is.True(granted(rd.Messages))
	is.Equal(rd.HardState.GetTerm(), uint64(2))
	is.Equal(rd.HardState.GetVote(), "a")
	r = newReplica("b", three, rd.HardState, entries(1, 1))
	r.Step(now, ask("c"))
	is.True(!granted(drive(now, r)))
	r.Step(now, ask("a"))
	is.True(granted(drive(now, r))) // the same vote again
}

// An entry of an earlier term that a majority stored is not committed by that
// alone; it may still be replaced.
func TestEntryOfEarlierTermIsCommittedOnlyWithOneOfOwnTerm(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", three, hard(3), entries(2, 2))
	now := start.Add(2 * election)
	elect(t, r, now, 4, "b")
	drive(now, r)
	r.Step(now, ack("b", 4, 2, now)) // entry 2 is of term 2
	is.Equal(r.Commit(), uint64(0))
	r.Step(now, ack("b", 4, 3, now))
	is.Equal(r.Commit(), uint64(3))
}

// What is not stored at a majority is not committed; the leader's own entry
// counts only once it is stored.
func TestLeadersEntryCountsOnlyOnceStored(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", three, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	r.Step(now, ack("b", 2, 2, now))
	is.Equal(r.Commit(), uint64(0))
	r.Ready()
	r.MarkStored(now, 2)
	is.Equal(r.Commit(), uint64(2))
}

// A new group starts only with all its replicas: with a majority, two lost
// disks of three would start another group.
func TestMajorityWithEmptyDisksStartsNoGroup(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * election)
	r := newReplica("a", three, nil, nil)
	r.Tick(now)
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "b", To: "a", Term: 1})
	is.Equal(r.Term(), uint64(0))
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, From: "c", To: "a", Term: 1})
	is.Equal(r.Role(), saddlereplica.Candidate)
}

// leading returns a leader of three in term 2 whose lease is valid.
func leading(t *testing.T) (*saddlereplica.Replica, time.Time) {
	t.Helper()
	r := newReplica("a", three, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	elect(t, r, now, 2, "b")
	drive(now, r)
	r.Step(now, ack("b", 2, 2, now))
	drive(now, r)
	if !r.LeaseValid(now) {
		t.Fatal("the leader has no lease")
	}
	return r, now
}

// Two changes of the replicas under way at once could have majorities that do
// not meet.
func TestOneMembershipChangeAtATime(t *testing.T) {
	is := is.New(t)
	r, now := leading(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	_, err = r.RemoveReplica(now, "c")
	var busy *saddlereplica.MembershipError
	is.True(errors.As(err, &busy))
	again, err := r.AddReplica(now, "d", "d", "c")
	is.True(again == 0 && (err == nil || errors.As(err, &busy)))
}

// Operators see a change of the replicas once it is committed. Seen before: a
// replacement was called done while the removal of the old replica could still
// be undone, and the loss of another VM then left two of four voters.
func TestMembersAreReportedOnceCommitted(t *testing.T) {
	is := is.New(t)
	r, now := leading(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drive(now, r)
	is.Equal(len(r.Members()), 4)
	is.Equal(len(r.CommittedMembers()), 3)
	r.Step(now, ack("b", 2, 3, now))
	drive(now, r)
	is.Equal(len(r.CommittedMembers()), 4)
}

// A replica without a vote counts towards no majority until it is caught up
// and promoted; only then the replaced one goes.
func TestReplacementVotesOnceCaughtUp(t *testing.T) {
	is := is.New(t)
	r, now := leading(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drive(now, r)
	r.Step(now, ack("d", 2, 3, now))
	is.Equal(r.Commit(), uint64(2)) // the word of a learner commits nothing
	r.Step(now, ack("b", 2, 3, now))
	is.Equal(r.Commit(), uint64(3))
	drive(now, r)
	is.Equal(voters(r), []string{"a", "b", "c"})

	steps := [][]string{{"a", "b", "c", "d"}, {"a", "b", "d"}}
	for i, want := range steps {
		now = now.Add(heartbeat)
		r.Step(now, ack("b", 2, 3+uint64(i), now))
		r.Step(now, ack("d", 2, 3+uint64(i), now))
		drive(now, r)
		r.Tick(now)
		drive(now, r)
		is.Equal(voters(r), want)
	}
}

// A learner that is silent or behind gets no vote.
func TestLearnerThatIsBehindGetsNoVote(t *testing.T) {
	is := is.New(t)
	r, now := leading(t)
	_, err := r.AddReplica(now, "d", "d", "c")
	is.NoErr(err)
	drive(now, r)
	r.Step(now, ack("b", 2, 3, now))
	r.Step(now, ack("d", 2, 1, now))
	drive(now, r)
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

// The last voter stays.
func TestLastVoterIsNotRemoved(t *testing.T) {
	is := is.New(t)
	r := newReplica("a", []string{"a"}, hard(1), entries(1, 1))
	now := start.Add(2 * election)
	r.Tick(now)
	drive(now, r)
	is.True(r.LeaseValid(now))
	_, err := r.RemoveReplica(now, "a")
	var refused *saddlereplica.MembershipError
	is.True(errors.As(err, &refused))
}

// A lease ends before any replica that answered the leader may vote.
func TestLeaseEndsBeforeOthersMayVote(t *testing.T) {
	is := is.New(t)
	r, now := leading(t)
	is.True(r.LeaseValid(now.Add(election / 2)))
	is.True(!r.LeaseValid(now.Add(election * 9 / 10)))

	b := newReplica("b", three, hard(2), entries(2, 2))
	b.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 2})
	drive(now, b)
	ask := &saddlewire.Message{Type: saddlewire.Message_VOTE, From: "c", To: "b", Term: 3, Index: 2, LogTerm: 2}
	b.Step(now.Add(election*19/20), ask)
	is.True(!granted(drive(now, b)))
	b.Step(now.Add(election), ask)
	is.True(granted(drive(now, b)))
}

// A candidate that lacks entries gets no vote.
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
				r := newReplica("b", three, hard(2), entries(3, 2))
				r.Step(now, &saddlewire.Message{Type: kind, From: "c", To: "b", Term: 3, Index: last.index, LogTerm: last.term})
				is.True(!granted(drive(now, r)))
			}
		})
	}
}
