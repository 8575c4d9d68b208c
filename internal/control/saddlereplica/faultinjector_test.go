package saddlereplica_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// faultInjector starts faults at random times; several may overlap.
type faultInjector struct {
	sim         *simulation
	replaced    int  // replacements started after a disk loss
	replacing   bool // a replacement is in progress
	stopped     bool
	maxInterval time.Duration // longest time between faults
	counts      map[string]int
}

func (sim *simulation) addFaultInjector(maxInterval time.Duration) *faultInjector {
	inj := &faultInjector{sim: sim, maxInterval: maxInterval, counts: map[string]int{}}
	inj.scheduleNext()
	return inj
}

func (inj *faultInjector) scheduleNext() {
	inj.sim.schedule(inj.sim.randomDuration(inj.maxInterval/10, inj.maxInterval), inj.injectNext)
}

// kinds returns the faults to choose from. A fault that is listed twice is chosen
// twice as often.
func (inj *faultInjector) kinds() []func(n *node) string {
	return []func(n *node) string{
		inj.kill, inj.killAtStep, inj.killAtDiskOperation, inj.isolate, inj.isolateOutbound, inj.freeze, inj.loseDisk, inj.isolateLeader, inj.freezeLeader,
		inj.cutLink, inj.cutLink, inj.quickRestart, inj.quickRestart, inj.freezeAndIsolateLeader, inj.cutLeaderLinkWithRestarts,
	}
}

func (inj *faultInjector) injectNext() {
	if inj.stopped {
		return
	}
	nodes := inj.activeNodes()
	n := nodes[inj.sim.rng.IntN(len(nodes))]
	kinds := inj.kinds()
	inj.counts[kinds[inj.sim.rng.IntN(len(kinds))](n)]++
	inj.scheduleNext()
}

// activeNodes returns all nodes except those that lost their disk and for which a
// replacement was started.
func (inj *faultInjector) activeNodes() []*node {
	var out []*node
	for _, n := range inj.sim.nodes {
		if n.initialMembers != nil || n.up {
			out = append(out, n)
		}
	}
	return out
}

func (inj *faultInjector) kill(n *node) string {
	n.crash()
	inj.restartLater(n)
	return "kill"
}

func (inj *faultInjector) killAtStep(n *node) string {
	if n.running() {
		n.stepsUntilCrash = 1 + inj.sim.rng.IntN(12)
		inj.restartLater(n)
	}
	return "kill at a step"
}

func (inj *faultInjector) killAtDiskOperation(n *node) string {
	if n.running() {
		n.disk.FailFrom(n.disk.Operations()+1+inj.sim.rng.IntN(12), saddledisk.ErrCrash, inj.sim.chance(0.5))
		inj.restartLater(n)
	}
	return "kill at a disk operation"
}

// restartLater restarts the node after a delay if it has crashed by then.
func (inj *faultInjector) restartLater(n *node) {
	inj.sim.schedule(inj.sim.randomDuration(300*time.Millisecond, 3*time.Second), func() {
		if n.initialMembers != nil && !n.up && n.err == nil {
			n.disk.FailFrom(0, nil, false)
			n.start()
		}
	})
}

func (inj *faultInjector) isolate(n *node) string {
	inj.sim.isolate(n.id, true)
	inj.sim.schedule(inj.sim.randomDuration(300*time.Millisecond, 6*time.Second), func() { inj.sim.isolate(n.id, false) })
	return "isolate"
}

func (inj *faultInjector) isolateLeader(*node) string {
	if l := inj.sim.leader(); l != nil {
		inj.isolate(l)
	}
	return "isolate leader"
}

// cutLink cuts the link between a node and another one.
func (inj *faultInjector) cutLink(n *node) string {
	other := inj.activeNodes()[inj.sim.rng.IntN(len(inj.activeNodes()))]
	links := []link{{n.id, other.id}, {other.id, n.id}}
	inj.setCut(links, true)
	inj.sim.schedule(inj.sim.randomDuration(500*time.Millisecond, 5*time.Second), func() { inj.setCut(links, false) })
	return "cut link"
}

// quickRestart crashes a node and restarts it within an election timeout.
func (inj *faultInjector) quickRestart(n *node) string {
	if n.initialMembers == nil || !n.up {
		return "quick restart skipped"
	}
	n.crash()
	inj.sim.schedule(inj.sim.randomDuration(10*time.Millisecond, 150*time.Millisecond), func() {
		if n.initialMembers != nil && !n.up && n.err == nil {
			n.start()
		}
	})
	return "quick restart"
}

// freezeAndIsolateLeader freezes the leader and isolates it from the other
// replicas, but not from clients. When it resumes, it first processes the client
// requests that arrived in the meantime.
func (inj *faultInjector) freezeAndIsolateLeader(*node) string {
	l := inj.sim.leader()
	if l == nil {
		return "freeze and isolate leader skipped"
	}
	inj.sim.isolate(l.id, true)
	inj.freeze(l)
	inj.sim.schedule(inj.sim.randomDuration(4*time.Second, 5*time.Second), func() { inj.sim.isolate(l.id, false) })
	return "freeze and isolate leader"
}

// cutLeaderLinkWithRestarts cuts the link between the leader and one follower
// and repeatedly restarts another follower, which answers the leader between
// restarts. The restarted follower must not vote although it has no record of
// that leader.
func (inj *faultInjector) cutLeaderLinkWithRestarts(n *node) string {
	l := inj.sim.leader()
	others := slices.DeleteFunc(inj.activeNodes(), func(o *node) bool { return o == l || o == n || o.initialMembers == nil || !o.up })
	if l == nil || l == n || len(others) == 0 {
		return "cut leader link with restarts skipped"
	}
	links := []link{{n.id, l.id}, {l.id, n.id}}
	inj.setCut(links, true)
	for i := range 10 {
		inj.sim.schedule(time.Duration(4+i)*150*time.Millisecond, func() { inj.quickRestart(others[0]) })
	}
	inj.sim.schedule(3*time.Second, func() { inj.setCut(links, false) })
	return "cut leader link with restarts"
}

// isolateOutbound drops the messages that a node sends, but not those to it.
func (inj *faultInjector) isolateOutbound(n *node) string {
	var links []link
	for _, other := range inj.sim.nodes {
		links = append(links, link{n.id, other.id})
	}
	inj.setCut(links, true)
	inj.sim.schedule(inj.sim.randomDuration(300*time.Millisecond, 4*time.Second), func() { inj.setCut(links, false) })
	return "isolate outbound"
}

func (inj *faultInjector) setCut(links []link, cut bool) {
	for _, l := range links {
		inj.sim.cutLinks[l] = cut
	}
}

func (inj *faultInjector) freeze(n *node) string {
	n.freeze()
	inj.sim.schedule(inj.sim.randomDuration(300*time.Millisecond, 4*time.Second), n.unfreeze)
	return "freeze"
}

func (inj *faultInjector) freezeLeader(*node) string {
	if l := inj.sim.leader(); l != nil {
		inj.freeze(l)
	}
	return "freeze leader"
}

// loseDisk crashes a node, erases its disk, restarts it under its id in half of
// the cases, and replaces it. Only one disk is lost at a time.
func (inj *faultInjector) loseDisk(n *node) string {
	if inj.replacing || n.initialMembers == nil || !n.up || inj.sim.leader() == nil {
		return "lose disk skipped"
	}
	inj.replacing = true
	n.crash()
	n.wipe()
	if inj.sim.chance(0.5) {
		n.start()
	}
	inj.sim.schedule(inj.sim.randomDuration(100*time.Millisecond, 2*time.Second), func() {
		if n.up && n.replica.Term() > 0 {
			inj.sim.addViolation(n.id + " participated after its disk was lost")
		}
		var lost *saddlereplica.DiskLostError
		if n.err != nil && !errors.As(n.err, &lost) {
			inj.sim.addViolation(n.err.Error())
		}
		n.crash()
		n.initialMembers = nil
		inj.replace(n)
	})
	return "lose disk"
}

// replace adds a node that replaces another and repeats the membership change until
// the replacement is complete.
func (inj *faultInjector) replace(old *node) {
	inj.replaced++
	id := fmt.Sprintf("r%d", inj.replaced)
	replacement := inj.sim.addNode(id, members())
	var poll func()
	poll = func() {
		leader := inj.sim.leader()
		if leader != nil {
			_, _ = leader.replica.AddReplica(leader.clockNow(), id, id, old.id)
			leader.processReady()
		}
		if leader != nil && leader.up && isVoter(leader, id) && !isMember(leader, old.id) && leader.replica.CommitIndex() >= replacement.replica.CommitIndex() {
			inj.replacing = false
			return
		}
		inj.sim.schedule(300*time.Millisecond, poll)
	}
	poll()
}

func isMember(n *node, id string) bool {
	for _, m := range n.replica.CommittedMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

func isVoter(n *node, id string) bool {
	for _, m := range n.replica.CommittedMembers() {
		if m.GetId() == id {
			return m.GetVoter()
		}
	}
	return false
}

// endFaults stops the injector, ends all network and disk faults, and restarts the
// crashed nodes.
func (inj *faultInjector) endFaults() {
	inj.stopped = true
	clear(inj.sim.cutLinks)
	inj.sim.lossRate = 0
	inj.sim.lateRate = 0
	for _, n := range inj.sim.nodes {
		n.stepsUntilCrash = 0
		n.disk.FailFrom(0, nil, false)
		n.unfreeze()
		if n.initialMembers != nil && !n.up && n.err == nil {
			n.start()
		}
	}
}
