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
	tickEvery = 10 * time.Millisecond // between checks of all replicas' clocks
	lateBy    = 1500 * time.Millisecond
)

// world runs replicas, their disks and their network in virtual time. All that
// happens in it follows from its seed.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Time
	events eventHeap
	serial int

	nodes     []*node // all that ever ran
	cut       map[route]bool
	loss      float64 // share of messages lost
	duplicate float64 // share of messages sent twice
	delay     time.Duration
	late      float64 // share of messages that take up to lateBy

	entries map[uint64]string // committed entries, by index
	acked   []ackedChange
	faults  []string // broken promises
}

type route struct{ from, to string }

// ackedChange is a change of configuration that a client was told of.
type ackedChange struct {
	at       time.Time
	revision uint64
}

func newWorld(t testing.TB, seed uint64) *world {
	w := &world{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		now:     start,
		cut:     map[route]bool{},
		delay:   5 * time.Millisecond,
		entries: map[uint64]string{},
	}
	w.after(tickEvery, w.tick)
	return w
}

// fail notes a broken promise.
func (w *world) fail(what string) {
	if len(w.faults) < 5 {
		w.faults = append(w.faults, w.now.Sub(start).String()+": "+what)
	}
}

// event is something that happens at a time; equal times keep their order.
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

// after lets something happen after a time.
func (w *world) after(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.events, event{at: w.now.Add(d), serial: w.serial, run: run})
}

// runFor lets time pass.
func (w *world) runFor(d time.Duration) {
	w.runUntil(d, func() bool { return false })
}

// runUntil lets time pass until a condition holds, and reports whether it did
// within a time.
func (w *world) runUntil(limit time.Duration, holds func() bool) bool {
	until := w.now.Add(limit)
	for !holds() {
		if w.events[0].at.After(until) {
			w.now = until
			return holds()
		}
		e, _ := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return true
}

// between returns a random time.
func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)))
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// tick lets the replicas see their clocks and checks what must always hold.
func (w *world) tick() {
	holders := 0
	for _, n := range w.nodes {
		if !n.running() {
			continue
		}
		n.tick()
		if !n.running() {
			continue
		}
		if n.replica.LeaseValid(n.local()) {
			holders++
		}
		w.checkConfirmed(n)
	}
	if holders > 1 {
		w.fail("two replicas hold a lease")
	}
	w.after(tickEvery, w.tick)
}

// checkConfirmed holds a replica that calls its state confirmed to all changes
// that were acknowledged an election timeout ago.
func (w *world) checkConfirmed(n *node) {
	if !n.replica.Confirmed(n.local()) {
		return
	}
	old := w.now.Add(-election * 11 / 10)
	for _, a := range slices.Backward(w.acked) {
		if a.at.Before(old) {
			if n.state.Revision() < a.revision {
				w.fail(n.id + " calls a state confirmed that lacks an acknowledged change")
			}
			return
		}
	}
}

// noteAcked notes a change that a client was told of.
func (w *world) noteAcked(revision uint64) {
	if k := len(w.acked); k > 0 {
		revision = max(revision, w.acked[k-1].revision)
	}
	w.acked = append(w.acked, ackedChange{at: w.now, revision: revision})
}

// send carries a message, perhaps late, twice or not at all.
func (w *world) send(m *saddlewire.Message) {
	copies := 1
	if w.chance(w.duplicate) {
		copies = 2
	}
	for range copies {
		if w.cut[route{m.GetFrom(), m.GetTo()}] || w.chance(w.loss) {
			continue
		}
		late, _ := proto.Clone(m).(*saddlewire.Message)
		w.after(w.travel(), func() {
			if to := w.node(m.GetTo()); to != nil {
				to.receive(func() { to.replica.Step(to.local(), late) }, func() {})
			}
		})
	}
}

// travel returns how long a message is under way.
func (w *world) travel() time.Duration {
	if w.chance(w.late) {
		return w.between(w.delay, lateBy)
	}
	return w.between(w.delay/10, w.delay)
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// isolate cuts a node off from all others, or joins it again.
func (w *world) isolate(id string, cut bool) {
	for _, n := range w.nodes {
		w.cut[route{id, n.id}] = cut
		w.cut[route{n.id, id}] = cut
	}
}

// leader returns a running replica that holds a lease, nil: there is none.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.running() && n.replica.LeaseValid(n.local()) {
			return n
		}
	}
	return nil
}

// check fails the test for each broken promise.
func (w *world) check() {
	w.t.Helper()
	for _, f := range w.faults {
		w.t.Error(f)
	}
}
