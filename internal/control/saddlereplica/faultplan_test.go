package saddlereplica_test

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// plan lets one fault after another happen, several at a time.
type plan struct {
	w        *world
	replaced int  // disks lost and replaced in full
	busy     bool // a replacement is under way
	stopped  bool
	every    time.Duration // longest time between faults
	counts   map[string]int
}

func (w *world) addPlan(every time.Duration) *plan {
	p := &plan{w: w, every: every, counts: map[string]int{}}
	p.later()
	return p
}

func (p *plan) later() {
	p.w.after(p.w.between(p.every/10, p.every), p.next)
}

// faults are the kinds of faults by name.
func (p *plan) faults() []func(n *node) string {
	return []func(n *node) string{
		p.kill, p.killAtStep, p.killAtOperation, p.isolate, p.oneWay, p.freeze, p.loseDisk, p.isolateLeader, p.freezeLeader,
		p.cutLink, p.cutLink, p.bounce, p.bounce, p.freezeAndCutLeader, p.forgetLeader,
	}
}

func (p *plan) next() {
	if p.stopped {
		return
	}
	members := p.members()
	n := members[p.w.rng.IntN(len(members))]
	all := p.faults()
	p.counts[all[p.w.rng.IntN(len(all))](n)]++
	p.later()
}

// members are the nodes that were not replaced.
func (p *plan) members() []*node {
	var out []*node
	for _, n := range p.w.nodes {
		if n.first != nil || n.up {
			out = append(out, n)
		}
	}
	return out
}

func (p *plan) kill(n *node) string {
	n.crash()
	p.restartLater(n)
	return "kill"
}

func (p *plan) killAtStep(n *node) string {
	if n.running() {
		n.crashIn = 1 + p.w.rng.IntN(12)
		p.restartLater(n)
	}
	return "kill at a step"
}

func (p *plan) killAtOperation(n *node) string {
	if n.running() {
		n.disk.FailAt(n.disk.Operations()+1+p.w.rng.IntN(12), saddledisk.ErrCrash, p.w.chance(0.5))
		p.restartLater(n)
	}
	return "kill at a disk operation"
}

// restartLater starts the node again if it has crashed by then.
func (p *plan) restartLater(n *node) {
	p.w.after(p.w.between(300*time.Millisecond, 3*time.Second), func() {
		if n.first != nil && !n.up && n.err == nil {
			n.disk.FailAt(0, nil, false)
			n.start()
		}
	})
}

func (p *plan) isolate(n *node) string {
	p.w.isolate(n.id, true)
	p.w.after(p.w.between(300*time.Millisecond, 6*time.Second), func() { p.w.isolate(n.id, false) })
	return "cut off"
}

func (p *plan) isolateLeader(*node) string {
	if l := p.w.leader(); l != nil {
		p.isolate(l)
	}
	return "leader cut off"
}

// cutLink cuts a node off from one other.
func (p *plan) cutLink(n *node) string {
	other := p.members()[p.w.rng.IntN(len(p.members()))]
	routes := []route{{n.id, other.id}, {other.id, n.id}}
	p.set(routes, true)
	p.w.after(p.w.between(500*time.Millisecond, 5*time.Second), func() { p.set(routes, false) })
	return "link cut"
}

// bounce kills a node and starts it again before the others miss it.
func (p *plan) bounce(n *node) string {
	if n.first == nil || !n.up {
		return "no bounce"
	}
	n.crash()
	p.w.after(p.w.between(10*time.Millisecond, 150*time.Millisecond), func() {
		if n.first != nil && !n.up && n.err == nil {
			n.start()
		}
	})
	return "bounce"
}

// freezeAndCutLeader freezes the leader and cuts it off from the other
// replicas, not from clients. When it goes on, it first answers what clients
// asked meanwhile.
func (p *plan) freezeAndCutLeader(*node) string {
	l := p.w.leader()
	if l == nil {
		return "no leader"
	}
	p.w.isolate(l.id, true)
	p.freeze(l)
	p.w.after(p.w.between(4*time.Second, 5*time.Second), func() { p.w.isolate(l.id, false) })
	return "leader frozen and cut off"
}

// forgetLeader cuts the leader off from one follower and restarts another
// again and again, which answers the leader in between.
func (p *plan) forgetLeader(n *node) string {
	l := p.w.leader()
	others := slices.DeleteFunc(p.members(), func(o *node) bool { return o == l || o == n || o.first == nil || !o.up })
	if l == nil || l == n || len(others) == 0 {
		return "no leader forgotten"
	}
	routes := []route{{n.id, l.id}, {l.id, n.id}}
	p.set(routes, true)
	for i := range 10 {
		p.w.after(time.Duration(4+i)*150*time.Millisecond, func() { p.bounce(others[0]) })
	}
	p.w.after(3*time.Second, func() { p.set(routes, false) })
	return "leader forgotten"
}

// oneWay loses what one node sends and lets through what it is sent.
func (p *plan) oneWay(n *node) string {
	var routes []route
	for _, other := range p.w.nodes {
		routes = append(routes, route{n.id, other.id})
	}
	p.set(routes, true)
	p.w.after(p.w.between(300*time.Millisecond, 4*time.Second), func() { p.set(routes, false) })
	return "cut off one way"
}

func (p *plan) set(routes []route, cut bool) {
	for _, r := range routes {
		p.w.cut[r] = cut
	}
}

func (p *plan) freeze(n *node) string {
	n.freeze()
	p.w.after(p.w.between(300*time.Millisecond, 4*time.Second), n.thaw)
	return "freeze"
}

func (p *plan) freezeLeader(*node) string {
	if l := p.w.leader(); l != nil {
		p.freeze(l)
	}
	return "leader frozen"
}

// loseDisk loses the disk of a node, lets it try to come back as it was, and
// replaces it. Until that is done no other disk is lost.
func (p *plan) loseDisk(n *node) string {
	if p.busy || n.first == nil || !n.up || p.w.leader() == nil {
		return "no disk lost"
	}
	p.busy = true
	n.crash()
	n.wipe()
	if p.w.chance(0.5) {
		n.start()
	}
	p.w.after(p.w.between(100*time.Millisecond, 2*time.Second), func() {
		if n.up && n.replica.Term() > 0 {
			p.w.fail(n.id + " took part without its disk")
		}
		var lost *saddlereplica.DiskLostError
		if n.err != nil && !errors.As(n.err, &lost) {
			p.w.fail(n.err.Error())
		}
		n.crash()
		n.first = nil
		p.replace(n)
	})
	return "disk lost"
}

// replace adds a new node in a node's place, asking until it is done.
func (p *plan) replace(old *node) {
	p.replaced++
	id := fmt.Sprintf("r%d", p.replaced)
	fresh := p.w.addNode(id, members())
	var again func()
	again = func() {
		leader := p.w.leader()
		if leader != nil {
			_, _ = leader.replica.AddReplica(leader.local(), id, id, old.id)
			leader.settle()
		}
		if leader != nil && leader.up && voter(leader, id) && !member(leader, old.id) && leader.replica.Commit() >= fresh.replica.Commit() {
			p.busy = false
			return
		}
		p.w.after(300*time.Millisecond, again)
	}
	again()
}

func member(n *node, id string) bool {
	for _, m := range n.replica.CommittedMembers() {
		if m.GetId() == id {
			return true
		}
	}
	return false
}

func voter(n *node, id string) bool {
	for _, m := range n.replica.CommittedMembers() {
		if m.GetId() == id {
			return m.GetVoter()
		}
	}
	return false
}

// heal ends all faults.
func (p *plan) heal() {
	p.stopped = true
	clear(p.w.cut)
	p.w.loss = 0
	p.w.late = 0
	for _, n := range p.w.nodes {
		n.crashIn = 0
		n.disk.FailAt(0, nil, false)
		n.thaw()
		if n.first != nil && !n.up && n.err == nil {
			n.start()
		}
	}
}
