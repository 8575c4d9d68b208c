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

const patience = 30 * time.Second // virtual, for a condition to come true

// newGroup returns three replicas with a leader, without faults.
func newGroup(t *testing.T, seed uint64) *world {
	t.Helper()
	w := newWorld(t, seed)
	for _, id := range three {
		w.addNode(id, members(three...))
	}
	w.await("a leader", func() bool { return w.leader() != nil })
	return w
}

func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	if !w.runUntil(patience, holds) {
		w.t.Fatalf("no %s in %s", what, patience)
	}
}

// submitAt asks one replica once; the answer, if any, comes later.
func (w *world) submitAt(n *node, command *saddlewire.Command) func() *saddlewire.Result {
	var result *saddlewire.Result
	n.receive(func() {
		n.submit(command, func(out *saddlewire.SubmitResponse) { result = out.GetResult() })
	}, func() {})
	return func() *saddlewire.Result { return result }
}

// submit asks the leader, whoever it is, until there is an answer.
func (w *world) submit(command *saddlewire.Command) *saddlewire.Result {
	w.t.Helper()
	var result *saddlewire.Result
	w.await("answer to "+command.GetRequest(), func() bool {
		if l := w.leader(); l != nil {
			answer := w.submitAt(l, command)
			w.runUntil(10*heartbeat, func() bool { return answer() != nil || !l.up })
			result = answer()
		}
		return result != nil
	})
	return result
}

// A leader killed at any step of a commit, of its disk or otherwise: a resend
// through another replica gets one result, which every replica then holds, the
// old leader after its restart too.
func TestLeaderKilledAtEveryStepOfCommit(t *testing.T) {
	const seeds = 8
	for name, arm := range map[string]func(n *node, step int, seed int){
		"disk operation": func(n *node, step, seed int) {
			n.disk.FailAt(n.disk.Operations()+step, saddledisk.ErrCrash, seed%2 == 1)
		},
		"send, apply or answer": func(n *node, step, _ int) { n.crashIn = step },
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
			is.New(t).True(killed >= 2*seeds) // of the disk: write and sync
		})
	}
}

// killLeaderAt reports whether the leader reached the step.
func killLeaderAt(t *testing.T, seed, step int, arm func(n *node, step, seed int)) bool {
	t.Helper()
	is := is.New(t)
	w := newGroup(t, uint64(seed))
	w.submit(putCommand("before", "template", 0))
	old := w.leader()
	arm(old, step, seed)
	command := putCommand("change", "template", 1)
	first := w.submitAt(old, command)
	w.runUntil(heartbeat/2, func() bool { return first() != nil || !old.up })
	died := !old.up
	old.crashIn = 0
	old.disk.FailAt(0, nil, false)
	if died {
		w.await("another leader", func() bool { return w.leader() != nil })
	}
	result := w.submit(command)
	is.True(result.GetAccepted())
	is.Equal(result.GetRevision(), uint64(2)) // made once
	if first() != nil {
		is.Equal(first().GetIndex(), result.GetIndex())
	}
	if died {
		old.start()
	}
	w.await("equal states", func() bool {
		for _, n := range w.nodes {
			if !n.up || n.state.Revision() != result.GetIndex() {
				return false
			}
		}
		return true
	})
	w.check()
	return died
}

const changes = 500

// change submits revisions until a number of them is in force.
func (w *world) change(from, upTo uint64) {
	w.t.Helper()
	for i := from; i < upTo; i++ {
		if r := w.submit(putCommand(fmt.Sprintf("change %d", i+1), "template", i)); !r.GetAccepted() {
			w.t.Fatalf("change %d: %v", i+1, r)
		}
	}
}

// restartAll kills and restarts all replicas and holds them to all changes.
func (w *world) restartAll() {
	w.t.Helper()
	for _, n := range w.nodes {
		n.crash()
	}
	for _, n := range w.nodes {
		n.disk.FailAt(0, nil, false)
		n.start()
	}
	w.await("a leader", func() bool { return w.leader() != nil })
	got := w.leader().state.Templates()[0]
	if got.GetRevision() != changes || got.GetBody() != bodyStart+fmt.Sprintf("change %d", changes) {
		w.t.Fatalf("after the restart revision %d is in force: %s", got.GetRevision(), got.GetBody())
	}
	w.await("equal states", func() bool {
		for _, n := range w.nodes {
			if n.state.Revision() != w.nodes[0].state.Revision() || n.state.Revision() == 0 {
				return false
			}
		}
		return true
	})
	w.check()
}

// All replicas restart after 500 changes and know what is in force.
func TestRestartAfter500Changes(t *testing.T) {
	w := newGroup(t, 1)
	w.change(0, changes)
	w.restartAll()
}

// A follower that missed all changes catches up by snapshot.
func TestRestartAfter500ChangesThatOneMissed(t *testing.T) {
	w := newGroup(t, 2)
	w.isolate(follower(w).id, true)
	w.change(0, changes)
	clear(w.cut)
	w.restartAll()
}

// The leader is killed at each disk operation of a snapshot, then all restart.
func TestRestartAfter500ChangesWithSnapshotBeingWritten(t *testing.T) {
	const steps = 12
	killed := 0
	for step := 1; step <= steps; step++ {
		w := newGroup(t, uint64(step))
		w.change(0, changes-snapshotEvery)
		leader := w.leader()
		before := leader.lastSnapshot
		for i := uint64(changes - snapshotEvery); i < changes; i++ {
			if leader.up && leader.applied-before == snapshotEvery-1 {
				// write and sync of the entry, then the snapshot
				leader.disk.FailAt(leader.disk.Operations()+2+step, saddledisk.ErrCrash, true)
			}
			w.change(i, i+1)
		}
		if !leader.up {
			killed++
		}
		w.restartAll()
	}
	t.Logf("%d of %d killed", killed, steps)
	is.New(t).True(killed > steps/2)
}

// Two operators submit revisions on an equal base at once, each through any
// replica: one wins, the other is shown the winner's revision.
func TestTwoRevisionsWithEqualNumbers(t *testing.T) {
	for seed := range uint64(6) {
		is := is.New(t)
		w := newGroup(t, seed)
		w.submit(putCommand("first", "template", 0))
		leader := w.leader()
		one := w.submitAt(leader, putCommand("one", "template", 1))
		two := w.submitAt(leader, putCommand("two", "template", 1))
		w.await("both answers", func() bool { return one() != nil && two() != nil })
		is.True(one().GetAccepted() != two().GetAccepted())
		for _, r := range []*saddlewire.Result{one(), two()} {
			is.Equal(r.GetRevision(), uint64(2)) // the winner's
			if !r.GetAccepted() {
				is.Equal(r.GetCode(), string(fireflysaddle.CodeRevisionConflict))
			}
		}
		w.check()
	}
}

// A change is resent after its answer was lost: at once, through the next
// leader, and late after newer revisions.
func TestResendGetsFirstResult(t *testing.T) {
	for name, between := range map[string]func(w *world){
		"at once": func(*world) {},
		"through another leader": func(w *world) {
			old := w.leader()
			old.crash()
			w.await("another leader", func() bool { return w.leader() != nil })
		},
		"through a leader that missed it": func(w *world) {
			old := w.leader()
			w.isolate(old.id, true)
			w.await("another leader", func() bool { l := w.leader(); return l != nil && l != old })
		},
		"after newer revisions": func(w *world) {
			for i := range uint64(100) { // with snapshots
				w.submit(putCommand(fmt.Sprintf("newer %d", i), "template", 2+i))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newGroup(t, 3)
			w.submit(putCommand("before", "template", 0))
			command := putCommand("change", "template", 1)
			first := w.submit(command)
			between(w)
			again := w.submit(command)
			is.True(again.GetAccepted())
			is.Equal(again.GetRevision(), uint64(2))
			is.Equal(again.GetIndex(), first.GetIndex())
			w.check()
		})
	}
}

// A leader that is cut off silently for long neither accepts changes nor
// answers reads as current, from the end of its lease on, while the others go
// on; afterwards it holds what they decided.
func TestLeaderCutOffForLongNeitherAcceptsNorAnswers(t *testing.T) {
	is := is.New(t)
	w := newGroup(t, 4)
	w.submit(putCommand("before", "template", 0))
	old := w.leader()
	w.isolate(old.id, true)
	lost := w.submitAt(old, putCommand("lost", "template", 1))
	w.runFor(election)
	until := w.now.Add(5 * time.Minute)
	for i := uint64(1); w.now.Before(until); i++ {
		w.runFor(10 * time.Second)
		is.Equal(lost(), nil) // proposed while the lease was valid; never committed
		old.submit(putCommand("refused", "template", 1), func(out *saddlewire.SubmitResponse) {
			is.True(out.GetRefused())
		})
		old.read(func(out *saddlewire.ReadResponse) { is.True(!out.GetCurrent()) })
		is.True(!old.replica.Confirmed(old.local()))
		is.True(w.submit(putCommand(fmt.Sprintf("change %d", i), "template", i)).GetAccepted())
	}
	w.isolate(old.id, false)
	w.await("equal states", func() bool { return old.state.Revision() == w.leader().state.Revision() })
	w.check()
}

// A VM is lost, its replica replaced, and right after that another VM is lost:
// nothing accepted is lost with it.
func TestSecondLossRightAfterRepairLosesNothing(t *testing.T) {
	for _, second := range []string{"a follower", "the leader"} {
		t.Run(second, func(t *testing.T) {
			is := is.New(t)
			w := newGroup(t, 5)
			for i := range uint64(100) {
				is.True(w.submit(putCommand(fmt.Sprintf("change %d", i), "template", i)).GetAccepted())
			}
			p := &plan{w: w, counts: map[string]int{}}
			lost := follower(w)
			lost.crash()
			lost.wipe()
			lost.first = nil
			p.busy = true
			p.replace(lost)
			w.await("repair", func() bool { return !p.busy })

			next := follower(w)
			if second == "the leader" {
				next = w.leader()
			}
			next.crash()
			next.wipe()
			w.await("a leader", func() bool { return w.leader() != nil && w.leader() != next })
			got := w.leader().state.Templates()[0]
			is.Equal(got.GetRevision(), uint64(100))
			is.True(w.submit(putCommand("after", "template", 100)).GetAccepted())
			w.check()
		})
	}
}

// follower returns a running voter of the settings that does not lead.
func follower(w *world) *node {
	for _, n := range w.nodes {
		if n.up && n.first.GetReplicas() != nil && n != w.leader() {
			return n
		}
	}
	return nil
}

// A leader that runs is replaced: it leads until its removal is committed, then
// another does, and the one removed never leads again.
func TestRunningLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	w := newGroup(t, 6)
	w.submit(putCommand("before", "template", 0))
	old := w.leader()
	w.addNode("d", members())
	_, err := old.replica.AddReplica(old.local(), "d", "d", old.id)
	is.NoErr(err)
	w.await("another leader without the old one", func() bool {
		l := w.leader()
		return l != nil && l != old && !member(l, old.id) && voter(l, "d")
	})
	is.True(w.submit(putCommand("after", "template", 1)).GetAccepted())
	for range 20 {
		w.runFor(election)
		is.True(old.replica.Role() != saddlereplica.Leader)
		is.True(w.leader() != nil) // nor does it disturb the others
	}
	w.check()
}

// A replica that joins with an empty disk does not vote, so it cannot help a
// candidate to lead that lacks what a majority of the voters holds.
func TestJoiningReplicaWithEmptyDiskDoesNotVote(t *testing.T) {
	is := is.New(t)
	r := saddlereplica.New(start, config("d", nil), nil, &saddlewire.Snapshot{}, nil)
	now := start.Add(2 * election)
	for _, index := range []uint64{0, 5} {
		for _, kind := range []saddlewire.Message_Type{saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE} {
			r.Step(now, &saddlewire.Message{Type: kind, From: "a", To: "d", Term: 3, Index: index, LogTerm: 2})
			is.True(!granted(drive(now, r)))
		}
	}
	is.NoErr(r.Err())
	r.Step(now, &saddlewire.Message{Type: saddlewire.Message_APPEND, From: "a", To: "d", Term: 3, Index: 5, LogTerm: 2})
	is.True(r.Err() != nil) // the leader counts on its vote: its disk was lost
}
