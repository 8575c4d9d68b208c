package saddlereplica_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
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

// All replicas restart after 500 changes, and know what is in force: cleanly,
// killed at any disk operation while a snapshot is written, or with a follower
// that missed all of them.
func TestRestartAfter500Changes(t *testing.T) {
	const changes = 500
	prepare := func(t *testing.T, w *world, upTo uint64) {
		t.Helper()
		for i := range upTo {
			r := w.submit(putCommand(fmt.Sprintf("change %d", i+1), "template", i))
			if !r.GetAccepted() {
				t.Fatalf("change %d: %v", i+1, r)
			}
		}
	}
	restart := func(t *testing.T, w *world) {
		t.Helper()
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
			t.Fatalf("after the restart revision %d is in force: %s", got.GetRevision(), got.GetBody())
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
	t.Run("cleanly", func(t *testing.T) {
		w := newGroup(t, 1)
		prepare(t, w, changes)
		restart(t, w)
	})
	t.Run("one missed all", func(t *testing.T) {
		w := newGroup(t, 2)
		for _, n := range w.nodes {
			if n != w.leader() {
				w.isolate(n.id, true)
				defer w.isolate(n.id, false)
				break
			}
		}
		prepare(t, w, changes)
		clear(w.cut)
		restart(t, w)
	})
	t.Run("snapshot being written", func(t *testing.T) {
		written := 0
		for step := 1; step <= 12; step++ {
			w := newGroup(t, uint64(step))
			prepare(t, w, changes-snapshotEvery)
			leader := w.leader()
			before := leader.lastSnapshot
			for i := uint64(changes - snapshotEvery); i < changes; i++ {
				if leader.up && leader.applied-before == snapshotEvery-1 {
					// entry and sync, then the snapshot
					leader.disk.FailAt(leader.disk.Operations()+2+step, saddledisk.ErrCrash, true)
				}
				r := w.submit(putCommand(fmt.Sprintf("change %d", i+1), "template", i))
				is.New(t).True(r.GetAccepted())
			}
			if !leader.up {
				written++
			}
			restart(t, w)
		}
		t.Logf("%d of 12 killed", written)
		is.New(t).True(written > 6)
	})
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
				is.Equal(r.GetCode(), string(fireflysaddle.CodeConflict))
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
