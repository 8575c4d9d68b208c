package saddlereplica_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	tickInterval = 10 * time.Millisecond // interval of Tick calls and invariant checks
	maxLateDelay = 1500 * time.Millisecond
)

// simulation runs replicas, their disks and their network in virtual time. A run
// is determined by its seed.
type simulation struct {
	t          testing.TB
	rng        *rand.Rand
	now        time.Time
	events     eventHeap
	lastSerial int

	nodes         []*node // including crashed and replaced ones
	cutLinks      map[link]bool
	lossRate      float64 // fraction of messages lost
	duplicateRate float64 // fraction of messages sent twice
	maxDelay      time.Duration
	lateRate      float64 // fraction of messages delayed by up to maxLateDelay

	desiredVoters int           // number of voters that the group maintains, 0: its membership does not change by itself
	replaceAfter  time.Duration // time without replies after which a replica may be replaced

	committed    map[uint64]string // committed entries, by index
	ackedChanges []ackedChange
	violations   []string // violated invariants
}

type link struct{ from, to string }

// ackedChange is a configuration change that was acknowledged to a client.
type ackedChange struct {
	at       time.Time
	revision uint64
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	sim := &simulation{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		now:       start,
		cutLinks:  map[link]bool{},
		maxDelay:  5 * time.Millisecond,
		committed: map[uint64]string{},
	}
	sim.schedule(tickInterval, sim.tick)
	return sim
}

// addViolation records a violated invariant, up to five in a run.
func (sim *simulation) addViolation(what string) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, sim.now.Sub(start).String()+": "+what)
	}
}

// event is a scheduled call; events of equal time run in the order of scheduling.
type event struct {
	at     time.Time
	serial int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// schedule calls run after a delay.
func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.lastSerial++
	heap.Push(&sim.events, event{at: sim.now.Add(d), serial: sim.lastSerial, run: run})
}

// runFor advances the virtual time.
func (sim *simulation) runFor(d time.Duration) {
	sim.runUntil(d, func() bool { return false })
}

// runUntil advances the virtual time until a condition holds and reports whether
// it did within the limit.
func (sim *simulation) runUntil(limit time.Duration, condition func() bool) bool {
	until := sim.now.Add(limit)
	for !condition() {
		if sim.events[0].at.After(until) {
			sim.now = until
			return condition()
		}
		e, _ := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	return true
}

// randomDuration returns a duration in [low, high).
func (sim *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// tick calls Tick on all running replicas and checks the invariants.
func (sim *simulation) tick() {
	leaseHolders := 0
	for _, n := range sim.nodes {
		if !n.running() {
			continue
		}
		n.tick()
		if !n.running() {
			continue
		}
		if n.replica.LeaseValid(n.clockNow()) {
			leaseHolders++
		}
		sim.checkConfirmed(n)
	}
	if leaseHolders > 1 {
		sim.addViolation("two replicas hold a lease")
	}
	sim.schedule(tickInterval, sim.tick)
}

// checkConfirmed checks that a state reported as confirmed contains all changes
// acknowledged more than 1.1 election timeouts ago. The extra tenth allows for
// clock drift.
func (sim *simulation) checkConfirmed(n *node) {
	if !n.replica.Confirmed(n.clockNow()) {
		return
	}
	cutoff := sim.now.Add(-election * 11 / 10)
	for _, a := range slices.Backward(sim.ackedChanges) {
		if a.at.Before(cutoff) {
			if n.state.Revision() < a.revision {
				sim.addViolation(n.id + " reports a state as confirmed that lacks an acknowledged change")
			}
			return
		}
	}
}

// recordAcked records a change that was acknowledged to a client. The recorded
// revisions never decrease.
func (sim *simulation) recordAcked(revision uint64) {
	if k := len(sim.ackedChanges); k > 0 {
		revision = max(revision, sim.ackedChanges[k-1].revision)
	}
	sim.ackedChanges = append(sim.ackedChanges, ackedChange{at: sim.now, revision: revision})
}

// send schedules the delivery of a message, which may be lost, duplicated or delayed
// at the configured rates.
func (sim *simulation) send(m *saddlewire.Message) {
	copies := 1
	if sim.chance(sim.duplicateRate) {
		copies = 2
	}
	for range copies {
		if sim.cutLinks[link{m.GetFrom(), m.GetTo()}] || sim.chance(sim.lossRate) {
			continue
		}
		copied, _ := proto.Clone(m).(*saddlewire.Message)
		sim.schedule(sim.messageDelay(), func() {
			if to := sim.node(m.GetTo()); to != nil {
				to.receive(func() { to.replica.Step(to.clockNow(), copied) }, func() {})
			}
		})
	}
}

// messageDelay returns the random transit time of a message.
func (sim *simulation) messageDelay() time.Duration {
	if sim.chance(sim.lateRate) {
		return sim.randomDuration(sim.maxDelay, maxLateDelay)
	}
	return sim.randomDuration(sim.maxDelay/10, sim.maxDelay)
}

func (sim *simulation) node(id string) *node {
	for _, n := range sim.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// isolate cuts the links of a node to all others, or restores them.
func (sim *simulation) isolate(id string, cut bool) {
	for _, n := range sim.nodes {
		sim.cutLinks[link{id, n.id}] = cut
		sim.cutLinks[link{n.id, id}] = cut
	}
}

// leader returns a running replica that holds a lease, or nil if none does.
func (sim *simulation) leader() *node {
	for _, n := range sim.nodes {
		if n.running() && n.replica.LeaseValid(n.clockNow()) {
			return n
		}
	}
	return nil
}

// reportViolations fails the test for each violated invariant.
func (sim *simulation) reportViolations() {
	sim.t.Helper()
	for _, v := range sim.violations {
		sim.t.Error(v)
	}
}
