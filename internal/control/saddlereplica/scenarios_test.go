package saddlereplica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const conditionTimeout = 30 * time.Second // virtual time

// newGroup returns three replicas with an elected leader and without faults.
func newGroup(t *testing.T, seed uint64) *simulation {
	t.Helper()
	sim := newSimulation(t, seed)
	for _, id := range threeIDs {
		sim.addNode(id, members(threeIDs...))
	}
	sim.waitFor("a leader", func() bool { return sim.leader() != nil })
	return sim
}

func (sim *simulation) waitFor(what string, condition func() bool) {
	sim.t.Helper()
	if !sim.runUntil(conditionTimeout, condition) {
		sim.t.Fatalf("timed out waiting for %s after %s of virtual time", what, conditionTimeout)
	}
}

// submitTo submits a command once to one replica. The returned function returns
// the result, or nil while there is none.
func (sim *simulation) submitTo(n *node, command *saddlewire.Command) func() *saddlewire.Result {
	var result *saddlewire.Result
	n.receive(func() {
		n.submit(command, func(out *saddlewire.SubmitResponse) { result = out.GetResult() })
	}, func() {})
	return func() *saddlewire.Result { return result }
}

// submit submits a command to the current leader until there is a result.
func (sim *simulation) submit(command *saddlewire.Command) *saddlewire.Result {
	sim.t.Helper()
	var result *saddlewire.Result
	sim.waitFor("answer to "+command.GetRequest(), func() bool {
		if l := sim.leader(); l != nil {
			answer := sim.submitTo(l, command)
			sim.runUntil(10*heartbeat, func() bool { return answer() != nil || !l.up })
			result = answer()
		}
		return result != nil
	})
	return result
}

// The leader crashes at each step of a commit. A resend through another replica
// must apply the change exactly once, and all replicas, including the restarted
// leader, must reach the same state.
func TestLeaderKilledAtEveryStepOfCommit(t *testing.T) {
	const seeds = 8
	for name, arm := range map[string]func(n *node, step int, seed int){
		"disk operation": func(n *node, step, seed int) {
			n.disk.FailFrom(n.disk.Operations()+step, saddledisk.ErrCrash, seed%2 == 1)
		},
		"send, apply or answer": func(n *node, step, _ int) { n.stepsUntilCrash = step },
	} {
		t.Run(name, func(t *testing.T) {
			killed := 0
			for seed := range seeds {
				for step := 1; ; step++ {
					if !killLeaderAt(t, seed, step, arm) {
						break
					}
					killed++
				}
			}
			t.Logf("%d kills", killed)
			is.New(t).True(killed >= 2*seeds) // a commit has at least two disk operations: write and sync
		})
	}
}

// killLeaderAt arms a crash of the leader at a step, submits a change, resends it
// and reports whether the leader crashed.
func killLeaderAt(t *testing.T, seed, step int, arm func(n *node, step, seed int)) bool {
	t.Helper()
	is := is.New(t)
	sim := newGroup(t, uint64(seed))
	sim.submit(putCommand("before", "template", 0))
	old := sim.leader()
	arm(old, step, seed)
	command := putCommand("change", "template", 1)
	first := sim.submitTo(old, command)
	sim.runUntil(heartbeat/2, func() bool { return first() != nil || !old.up })
	crashed := !old.up
	old.stepsUntilCrash = 0
	old.disk.FailFrom(0, nil, false)
	if crashed {
		sim.waitFor("another leader", func() bool { return sim.leader() != nil })
	}
	result := sim.submit(command)
	is.True(result.GetAccepted())
	is.Equal(result.GetRevision(), uint64(2)) // applied exactly once
	if first() != nil {
		is.Equal(first().GetIndex(), result.GetIndex())
	}
	if crashed {
		old.start()
	}
	sim.waitFor("equal states", func() bool {
		for _, n := range sim.nodes {
			if !n.up || n.state.Revision() != result.GetIndex() {
				return false
			}
		}
		return true
	})
	sim.reportViolations()
	return crashed
}

const changeCount = 500

// submitChanges submits the revisions from+1 to upTo.
func (sim *simulation) submitChanges(from, upTo uint64) {
	sim.t.Helper()
	for i := from; i < upTo; i++ {
		if r := sim.submit(putCommand(fmt.Sprintf("change %d", i+1), "template", i)); !r.GetAccepted() {
			sim.t.Fatalf("change %d: %v", i+1, r)
		}
	}
}

// restartAll crashes and restarts all replicas and checks that no change is lost.
func (sim *simulation) restartAll() {
	sim.t.Helper()
	for _, n := range sim.nodes {
		n.crash()
	}
	for _, n := range sim.nodes {
		n.disk.FailFrom(0, nil, false)
		n.start()
	}
	sim.waitFor("a leader", func() bool { return sim.leader() != nil })
	got := sim.leader().state.Templates()[0]
	if got.GetRevision() != changeCount || got.GetBody() != bodyStart+fmt.Sprintf("change %d", changeCount) {
		sim.t.Fatalf("the latest revision after the restart is %d: %s", got.GetRevision(), got.GetBody())
	}
	sim.waitFor("equal states", func() bool {
		for _, n := range sim.nodes {
			if n.state.Revision() != sim.nodes[0].state.Revision() || n.state.Revision() == 0 {
				return false
			}
		}
		return true
	})
	sim.reportViolations()
}

// All replicas restart after 500 changes and keep the latest revision.
func TestRestartAfter500Changes(t *testing.T) {
	sim := newGroup(t, 1)
	sim.submitChanges(0, changeCount)
	sim.restartAll()
}

// A partitioned follower that missed all changes catches up by a snapshot.
func TestRestartAfter500ChangesWithOneReplicaBehind(t *testing.T) {
	sim := newGroup(t, 2)
	sim.isolate(follower(sim).id, true)
	sim.submitChanges(0, changeCount)
	clear(sim.cutLinks)
	sim.restartAll()
}

// The leader crashes at each disk operation of a snapshot, then all replicas
// restart.
func TestRestartAfter500ChangesWithSnapshotBeingWritten(t *testing.T) {
	const steps = 12
	killed := 0
	for step := 1; step <= steps; step++ {
		sim := newGroup(t, uint64(step))
		sim.submitChanges(0, changeCount-snapshotEvery)
		leader := sim.leader()
		before := leader.lastSnapshot
		for i := uint64(changeCount - snapshotEvery); i < changeCount; i++ {
			if leader.up && leader.applied-before == snapshotEvery-1 {
				// the write and sync of the entry precede the snapshot
				leader.disk.FailFrom(leader.disk.Operations()+2+step, saddledisk.ErrCrash, true)
			}
			sim.submitChanges(i, i+1)
		}
		if !leader.up {
			killed++
		}
		sim.restartAll()
	}
	t.Logf("%d of %d killed", killed, steps)
	is.New(t).True(killed > steps/2)
}

// Two concurrent changes have the same base revision: one is accepted, the other
// fails with a conflict that carries the accepted revision.
func TestTwoRevisionsWithEqualNumbers(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		sim := newGroup(t, seed)
		sim.submit(putCommand("first", "template", 0))
		leader := sim.leader()
		one := sim.submitTo(leader, putCommand("one", "template", 1))
		two := sim.submitTo(leader, putCommand("two", "template", 1))
		sim.waitFor("both answers", func() bool { return one() != nil && two() != nil })
		is.True(one().GetAccepted() != two().GetAccepted())
		for _, r := range []*saddlewire.Result{one(), two()} {
			is.Equal(r.GetRevision(), uint64(2)) // revision of the accepted change
			if !r.GetAccepted() {
				is.Equal(r.GetCode(), string(fireflysaddle.CodeRevisionConflict))
			}
		}
		sim.reportViolations()
	}
}

// A change whose answer was lost is resent immediately, through a new leader, or
// after newer revisions. Each resend must get the result of the first request.
func TestResendGetsFirstResult(t *testing.T) {
	for name, beforeResend := range map[string]func(sim *simulation){
		"at once": func(*simulation) {},
		"through another leader": func(sim *simulation) {
			old := sim.leader()
			old.crash()
			sim.waitFor("another leader", func() bool { return sim.leader() != nil })
		},
		"while the old leader is partitioned": func(sim *simulation) {
			old := sim.leader()
			sim.isolate(old.id, true)
			sim.waitFor("another leader", func() bool { l := sim.leader(); return l != nil && l != old })
		},
		"after newer revisions": func(sim *simulation) {
			for i := range uint64(100) { // enough for snapshots
				sim.submit(putCommand(fmt.Sprintf("newer %d", i), "template", 2+i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newGroup(t, 3)
			sim.submit(putCommand("before", "template", 0))
			command := putCommand("change", "template", 1)
			first := sim.submit(command)
			beforeResend(sim)
			resent := sim.submit(command)
			is.True(resent.GetAccepted())
			is.Equal(resent.GetRevision(), uint64(2))
			is.Equal(resent.GetIndex(), first.GetIndex())
			sim.reportViolations()
		})
	}
}

// After its lease has ended, a partitioned leader accepts no changes and serves no
// current reads, while the majority continues. After the partition the old leader
// adopts the state of the majority.
func TestPartitionedLeaderNeitherAcceptsChangesNorServesReads(t *testing.T) {
	is := is.New(t)
	sim := newGroup(t, 4)
	sim.submit(putCommand("before", "template", 0))
	old := sim.leader()
	sim.isolate(old.id, true)
	lost := sim.submitTo(old, putCommand("lost", "template", 1))
	sim.runFor(election)
	until := sim.now.Add(5 * time.Minute)
	for i := uint64(1); sim.now.Before(until); i++ {
		sim.runFor(10 * time.Second)
		is.Equal(lost(), nil) // proposed while the lease was valid; never committed
		old.submit(putCommand("refused", "template", 1), func(out *saddlewire.SubmitResponse) {
			is.True(out.GetRefused())
		})
		old.read(func(out *saddlewire.ReadResponse) { is.True(!out.GetCurrent()) })
		is.True(!old.replica.Confirmed(old.clockNow()))
		is.True(sim.submit(putCommand(fmt.Sprintf("change %d", i), "template", i)).GetAccepted())
	}
	sim.isolate(old.id, false)
	sim.waitFor("equal states", func() bool { return old.state.Revision() == sim.leader().state.Revision() })
	sim.reportViolations()
}

// A second VM is lost immediately after the replica on the first lost VM was
// replaced. No accepted change may be lost.
func TestSecondLossAfterReplacementLosesNoAcceptedChange(t *testing.T) {
	for _, second := range []string{"a follower", "the leader"} {
		t.Run(second, func(t *testing.T) {
			is := is.New(t)
			sim := newGroup(t, 5)
			for i := range uint64(100) {
				is.True(sim.submit(putCommand(fmt.Sprintf("change %d", i), "template", i)).GetAccepted())
			}
			inj := &faultInjector{sim: sim, counts: map[string]int{}}
			lost := follower(sim)
			lost.crash()
			lost.wipe()
			lost.initialMembers = nil
			inj.replacing = true
			inj.replace(lost)
			sim.waitFor("the replacement", func() bool { return !inj.replacing })

			next := follower(sim)
			if second == "the leader" {
				next = sim.leader()
			}
			next.crash()
			next.wipe()
			sim.waitFor("a leader", func() bool { return sim.leader() != nil && sim.leader() != next })
			got := sim.leader().state.Templates()[0]
			is.Equal(got.GetRevision(), uint64(100))
			is.True(sim.submit(putCommand("after", "template", 100)).GetAccepted())
			sim.reportViolations()
		})
	}
}

// follower returns a running initial voter that is not the leader.
func follower(sim *simulation) *node {
	for _, n := range sim.nodes {
		if n.up && n.initialMembers.GetReplicas() != nil && n != sim.leader() {
			return n
		}
	}
	return nil
}

// The running leader is replaced. It leads until its removal is committed, then
// another replica is elected, and the removed one never leads again.
func TestRunningLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	sim := newGroup(t, 6)
	sim.submit(putCommand("before", "template", 0))
	old := sim.leader()
	sim.addNode("d", members())
	_, err := old.replica.AddReplica(old.clockNow(), "d", "d", old.id)
	is.NoErr(err)
	sim.waitFor("another leader and the removal of the old one", func() bool {
		l := sim.leader()
		return l != nil && l != old && !isMember(l, old.id) && isVoter(l, "d")
	})
	is.True(sim.submit(putCommand("after", "template", 1)).GetAccepted())
	for range 20 {
		sim.runFor(election)
		is.True(old.replica.Role() != saddlereplica.Leader)
		is.True(sim.leader() != nil) // the removed replica does not disrupt the others
	}
	sim.reportViolations()
}

// A joining replica with an empty disk grants no vote. Otherwise it could help to
// elect a candidate that lacks committed entries.
func TestJoiningReplicaWithEmptyDiskDoesNotVote(t *testing.T) {
	is := is.New(t)
	r := saddlereplica.New(start, config("d", nil), nil, &saddlewire.Snapshot{}, nil)
	now := start.Add(2 * election)
	for _, index := range []uint64{0, 5} {
		for _, kind := range []saddlewire.Message_Type{saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE} {
			r.Step(now, &saddlewire.Message{Type: kind, From: "a", To: "d", Term: 3, Index: index, LogTerm: 2})
			is.True(!grantsVote(drainReady(now, r)))
		}
	}
	is.NoErr(r.Err())
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "d", Term: 3, Index: 5, LogTerm: 2})
	is.True(r.Err() != nil) // the leader does not list it as a learner, so its disk was lost
}
