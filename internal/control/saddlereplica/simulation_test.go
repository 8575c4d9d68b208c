package saddlereplica_test

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

var (
	searchRuns = flag.Int("search", 0, "further seeds to simulate in TestSearch")
	searchFrom = flag.Uint64("search-from", 1000, "first seed of TestSearch")
)

const (
	simulatedTime = 40 * time.Second // of faults
	healedTime    = 20 * time.Second // after the last fault
	fixedSeeds    = 24
	checkTime     = time.Minute // a history that is not linearizable may take for ever
)

// weathers are how bad the network is and how often faults happen.
var weathers = []struct {
	loss, late float64
	every      time.Duration
}{
	{loss: 0.02, every: 2 * time.Second},
	{loss: 0.02, late: 0.05, every: time.Second},
	{loss: 0.1, late: 0.1, every: 400 * time.Millisecond},
}

// outcome sums up one simulation.
type outcome struct {
	operations int
	unknown    int
	resends    int
	replaced   int
	faults     map[string]int
}

// simulate runs replicas and clients under faults and checks every promise.
func simulate(t *testing.T, seed uint64) outcome {
	t.Helper()
	w := newWorld(t, seed)
	weather := weathers[seed%uint64(len(weathers))]
	w.loss = weather.loss
	w.late = weather.late
	w.duplicate = 0.05
	ids := []string{"a", "b", "c"}
	if seed%5 == 3 {
		ids = append(ids, "d", "e")
	}
	for _, id := range ids {
		w.addNode(id, members(ids...))
	}
	if !w.runUntil(30*time.Second, func() bool { return w.leader() != nil }) {
		t.Fatal("no leader at the start")
	}
	hist := &history{}
	var clients []*client
	for i := range 5 {
		clients = append(clients, w.addClient(i, hist))
	}
	w.probe(hist)
	p := w.addPlan(weather.every)
	w.runFor(simulatedTime)
	p.heal()
	w.runFor(healedTime)
	if w.leader() == nil {
		w.fail("no leader after all faults ended")
	}
	if p.busy {
		w.fail("a replacement did not end")
	}
	for _, c := range clients {
		c.stopped = true
	}
	w.runFor(resendUntil + 2*giveUp)
	checkEqualStates(w)
	w.check()
	if got := porcupine.CheckOperationsTimeout(model, hist.operations, checkTime); got != porcupine.Ok {
		t.Errorf("the history of %d operations is not linearizable: %s", len(hist.operations), got)
	}
	out := outcome{operations: len(hist.operations), replaced: p.replaced, faults: p.counts}
	for _, op := range hist.operations {
		if op.Output.(told).unknown {
			out.unknown++
		}
	}
	for _, c := range clients {
		out.resends += c.resends
	}
	return out
}

// checkEqualStates holds all members to the leader's state once all is quiet.
func checkEqualStates(w *world) {
	leader := w.leader()
	if leader == nil {
		return
	}
	for _, m := range leader.replica.Members() {
		n := w.node(m.GetId())
		if !n.up || n.applied != leader.applied || n.state.Revision() != leader.state.Revision() {
			w.fail(fmt.Sprintf("%s is not up to date in the end", n.id))
		}
	}
}

// Histories of templates and claims are linearizable under lost, late, doubled
// and reordered messages, crashes at any step, lost disks, cuts and freezes; no
// two replicas hold a lease, none calls an old state confirmed, a late resend
// gets the first result, and all goes on once the faults end.
func TestHistoriesAreLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(fixedSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			out := simulate(t, seed)
			t.Logf("%+v", out)
			is.New(t).True(out.operations > 100) // the run was not idle
		})
	}
}

// TestSearch simulates as many further seeds as -search says.
func TestSearch(t *testing.T) {
	var mu sync.Mutex
	var sum outcome
	t.Run("seeds", func(t *testing.T) {
		for i := range *searchRuns {
			seed := *searchFrom + uint64(i)
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				out := simulate(t, seed)
				mu.Lock()
				defer mu.Unlock()
				sum.operations += out.operations
				sum.unknown += out.unknown
				sum.resends += out.resends
				sum.replaced += out.replaced
			})
		}
	})
	t.Logf("%d runs: %d operations, %d of unknown outcome, %d late resends, %d disks replaced",
		*searchRuns, sum.operations, sum.unknown, sum.resends, sum.replaced)
}
