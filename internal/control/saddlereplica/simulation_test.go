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
	searchRuns = flag.Int("search", 0, "number of additional seeds to simulate in TestSearch")
	searchFrom = flag.Uint64("search-from", 1000, "first seed of TestSearch")
)

const (
	faultTime              = 40 * time.Second // period in which faults are injected
	recoveryTime           = 20 * time.Second // period without faults that follows faultTime
	seedCount              = 24
	linearizabilityTimeout = time.Minute // the check of a history that is not linearizable may not terminate
)

// networkConditions lists the conditions under which simulations run. Each element has the
// rates of lost and of delayed messages and the longest interval between two faults. The
// seed of a run selects one element.
var networkConditions = []struct {
	lossRate, lateRate float64
	maxInterval        time.Duration
}{
	{lossRate: 0.02, maxInterval: 2 * time.Second},
	{lossRate: 0.02, lateRate: 0.05, maxInterval: time.Second},
	{lossRate: 0.1, lateRate: 0.1, maxInterval: 400 * time.Millisecond},
}

// outcome summarises one or more simulations.
type outcome struct {
	operations int
	unknown    int            // operations of unknown outcome
	resends    int            // late resends that were answered
	replaced   int            // replicas replaced after a disk loss
	faults     map[string]int // number of faults, by kind
}

// simulate runs replicas and clients under faults and checks all invariants.
func simulate(t *testing.T, seed uint64) outcome {
	t.Helper()
	sim := newSimulation(t, seed)
	conditions := networkConditions[seed%uint64(len(networkConditions))]
	sim.lossRate = conditions.lossRate
	sim.lateRate = conditions.lateRate
	sim.duplicateRate = 0.05
	ids := []string{"a", "b", "c"}
	if seed%5 == 3 {
		ids = append(ids, "d", "e")
	}
	for _, id := range ids {
		sim.addNode(id, members(ids...))
	}
	if !sim.runUntil(30*time.Second, func() bool { return sim.leader() != nil }) {
		t.Fatal("no leader at the start")
	}
	hist := &history{}
	var clients []*client
	for i := range 5 {
		clients = append(clients, sim.addClient(i, hist))
	}
	sim.probeReplicas(hist)
	inj := sim.addFaultInjector(conditions.maxInterval)
	sim.runFor(faultTime)
	inj.endFaults()
	sim.runFor(recoveryTime)
	if sim.leader() == nil {
		sim.addViolation("no leader after the last fault")
	}
	if inj.replacing {
		sim.addViolation("a replacement did not complete")
	}
	for _, c := range clients {
		c.stopped = true
	}
	sim.runFor(maxResendDelay + 2*requestTimeout)
	checkEqualStates(sim)
	sim.reportViolations()
	if got := porcupine.CheckOperationsTimeout(model, hist.operations, linearizabilityTimeout); got != porcupine.Ok {
		t.Errorf("the history of %d operations is not linearizable: %s", len(hist.operations), got)
	}
	result := outcome{operations: len(hist.operations), replaced: inj.replaced, faults: inj.counts}
	for _, op := range hist.operations {
		if op.Output.(opOutput).unknown {
			result.unknown++
		}
	}
	for _, c := range clients {
		result.resends += c.resends
	}
	return result
}

// checkEqualStates checks that all members have the leader's state after recovery.
func checkEqualStates(sim *simulation) {
	leader := sim.leader()
	if leader == nil {
		return
	}
	for _, m := range leader.replica.Members() {
		n := sim.node(m.GetId())
		if !n.up || n.applied != leader.applied || n.state.Revision() != leader.state.Revision() {
			sim.addViolation(fmt.Sprintf("%s is not up to date after recovery", n.id))
		}
	}
}

// Histories of templates and claims are linearizable under lost, delayed,
// duplicated and reordered messages, crashes at any step, lost disks, partitions
// and paused processes. At most one replica holds a lease, none reports a stale
// state as confirmed, a late resend gets the result of the first request, and the
// group recovers once the faults end.
func TestHistoriesAreLinearizableUnderFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			result := simulate(t, seed)
			t.Logf("%+v", result)
			is.New(t).True(result.operations > 100) // the clients completed operations
		})
	}
}

// TestSearch simulates the number of additional seeds given by -search.
func TestSearch(t *testing.T) {
	var mu sync.Mutex
	var sum outcome
	t.Run("seeds", func(t *testing.T) {
		for i := range *searchRuns {
			seed := *searchFrom + uint64(i)
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				t.Parallel()
				result := simulate(t, seed)
				mu.Lock()
				defer mu.Unlock()
				sum.operations += result.operations
				sum.unknown += result.unknown
				sum.resends += result.resends
				sum.replaced += result.replaced
			})
		}
	})
	t.Logf("%d runs: %d operations, %d of unknown outcome, %d late resends, %d replicas replaced after a disk loss",
		*searchRuns, sum.operations, sum.unknown, sum.resends, sum.replaced)
}
