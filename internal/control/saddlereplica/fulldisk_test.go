package saddlereplica_test

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	fullTime       = 3 * time.Second        // time that a disk is full
	longRoomTime   = time.Second            // time between two full disks, enough to catch up
	joinInterval   = 300 * time.Millisecond // as in the control daemon
	changeInterval = 50 * time.Millisecond  // time between two changes; a snapshot is due every 2 s
	ackLimit       = 4 * time.Second        // longest time without an acknowledged change, a few elections
	recoveryLimit  = 5 * time.Second        // time until all replicas have caught up once the last disk has room
	maxElections   = 3                      // elections, with split votes, after the leader's disk ran full
)

// refusals lists what a full disk may refuse, by name.
var refusals = map[string][]saddledisk.Operation{
	"everything":      nil,
	"bytes":           {saddledisk.Write},
	"bytes and files": {saddledisk.Write, saddledisk.Create},
	"truncation":      {saddledisk.Write, saddledisk.Truncate},
	"syncs":           {saddledisk.Sync},
	"renames":         {saddledisk.Rename},
	"removals":        {saddledisk.Remove},
	"folder syncs":    {saddledisk.SyncFolder},
}

// fullDiskOrders lists in which order the disks run full. Each function returns the nodes in
// that order; nil stands for the node that leads when its turn comes.
var fullDiskOrders = map[string]func(leader *node, others []*node) []*node{
	"leader first": func(leader *node, others []*node) []*node { return append([]*node{leader}, others...) },
	"leader last":  func(leader *node, others []*node) []*node { return append(others, leader) },
	"each twice": func(leader *node, others []*node) []*node {
		once := append([]*node{leader}, others...)
		return append(once, once...)
	},
	"whoever leads": func(_ *node, others []*node) []*node { return make([]*node, 2*len(others)) },
}

// Changes are acknowledged again, and all replicas are back in the group, after the disks of
// all replicas were full in turn, whatever the full disks refused and in whichever step of the
// store they ran full. A replica with a full disk neither raises terms nor counts as having
// stored what it has not.
func TestFullDisksInTurnDoNotStopChanges(t *testing.T) {
	for _, group := range []struct {
		replicas, desired int
		refused           []string
		steps             int           // operations of the store, one after the other, at which the disks run full
		roomTime          time.Duration // time between two full disks
	}{
		{replicas: 3, refused: slices.Sorted(maps.Keys(refusals)), steps: 4, roomTime: longRoomTime},
		{replicas: 3, refused: []string{"everything", "bytes"}, steps: 2}, // the next disk runs full as the last one has room again
		{replicas: 3, desired: 3, refused: []string{"everything", "bytes"}, steps: 2, roomTime: longRoomTime},
		{replicas: 5, refused: []string{"everything", "bytes"}, steps: 2, roomTime: longRoomTime},
		{replicas: 5, desired: 5, refused: []string{"everything", "bytes"}, steps: 2, roomTime: longRoomTime},
		{replicas: 6, desired: 5, refused: []string{"everything", "bytes"}, steps: 2, roomTime: longRoomTime}, // a silent voter is surplus
	} {
		for order, nodes := range fullDiskOrders {
			for _, refused := range group.refused {
				t.Run(fmt.Sprintf("%d replicas, %d desired, %s apart, %s, %s", group.replicas, group.desired, group.roomTime, order, refused), func(t *testing.T) {
					t.Parallel()
					for step := range group.steps {
						playFullDisks(t, uint64(step), group.replicas, group.desired, group.roomTime, nodes, refusals[refused])
					}
				})
			}
		}
	}
}

func playFullDisks(
	t *testing.T, seed uint64, replicas, desired int, roomTime time.Duration,
	order func(*node, []*node) []*node, kinds []saddledisk.Operation,
) {
	t.Helper()
	is := is.New(t)
	sim := newSimulation(t, seed)
	sim.desiredVoters = desired
	sim.replaceAfter = replaceAfter
	ids := []string{"a", "b", "c", "d", "e", "f"}[:replicas]
	for _, id := range ids {
		n := sim.addNode(id, members(ids...))
		if desired > 0 {
			sim.schedule(joinInterval, n.requestJoin)
		}
	}
	sim.waitFor("a leader", func() bool { return sim.leader() != nil })
	l := sim.addLoad()
	sim.runFor(longRoomTime)
	leader := sim.leader()
	var others []*node
	for _, n := range sim.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	for _, n := range order(leader, others) {
		is.True(sim.runUntil(ackLimit, func() bool { return sim.leader() != nil }))
		led := sim.leader()
		if n == nil {
			n = led
		}
		term := led.replica.Term()
		n.disk.FailFrom(n.disk.Operations()+1+int(seed), syscall.ENOSPC, seed%2 == 1, kinds...)
		sim.runFor(fullTime)
		is.True(sim.runUntil(ackLimit, func() bool { return sim.leader() != nil })) // the others have a leader
		raised := sim.leader().replica.Term() - term
		if n != led {
			is.Equal(raised, uint64(0)) // a follower with a full disk does not cause an election
		}
		is.True(raised <= maxElections)
		n.disk.FailFrom(0, nil, false)
		sim.runFor(roomTime)
	}
	is.True(sim.runUntil(recoveryLimit, sim.complete))
	is.True(l.longestPause <= ackLimit)
	acked := l.acked
	is.True(sim.runUntil(time.Second, func() bool { return l.acked > acked })) // a new change is acknowledged
	l.stopped = true
	sim.restartWithSyncedData()
	is.True(sim.runUntil(recoveryLimit, sim.complete))
	is.True(sim.leader().state.Routing().GetVersion() >= l.acked) // nothing acknowledged is lost
	sim.reportViolations()
}

// complete reports whether all nodes are up, voters, and confirmed by the leader.
func (sim *simulation) complete() bool {
	leader := sim.leader()
	if leader == nil {
		return false
	}
	for _, n := range sim.nodes {
		if !n.running() || !isVoter(leader, n.id) || !n.replica.Confirmed(n.clockNow()) {
			return false
		}
	}
	return true
}

// restartWithSyncedData cuts the power of all nodes and starts them with the data that were
// synced.
func (sim *simulation) restartWithSyncedData() {
	for _, n := range sim.nodes {
		n.up = false
		n.disk = n.disk.Reboot(false, false)
	}
	for _, n := range sim.nodes {
		n.start()
	}
}

// requestJoin sends a join request while no leader confirms the replica's state, as the
// control daemon does.
func (n *node) requestJoin() {
	l := n.sim.leader()
	if n.running() && l != nil && !n.replica.Confirmed(n.clockNow()) {
		l.receive(func() {
			_, _ = l.replica.AddReplica(l.clockNow(), n.id, n.id, l.replica.ReplicaToReplace(l.clockNow(), n.id, n.id))
		}, func() {})
	}
	n.sim.schedule(joinInterval, n.requestJoin)
}

// load submits changes one after another to whichever replica leads.
type load struct {
	sim          *simulation
	version      uint64 // of the latest change
	acked        uint64 // highest acknowledged version
	lastAck      time.Time
	longestPause time.Duration // between two acknowledgements
	stopped      bool
}

func (sim *simulation) addLoad() *load {
	l := &load{sim: sim, lastAck: sim.now}
	l.next()
	return l
}

func (l *load) next() {
	if l.stopped {
		return
	}
	if to := l.sim.leader(); to != nil {
		l.version++
		command := &saddlewire.Command{Change: &saddlewire.Command_PutRouting{
			PutRouting: &saddlewire.PutRouting{Version: l.version, Content: fmt.Appendf(nil, "version %d", l.version)},
		}}
		version := l.version
		to.receive(func() {
			to.submit(command, func(out *saddlewire.SubmitResponse) { l.record(version, out.GetResult()) })
		}, func() {})
	}
	l.sim.schedule(changeInterval, l.next)
}

func (l *load) record(version uint64, result *saddlewire.Result) {
	if !result.GetAccepted() {
		return
	}
	l.longestPause = max(l.longestPause, l.sim.now.Sub(l.lastAck))
	l.lastAck = l.sim.now
	l.acked = max(l.acked, version)
	l.sim.recordAcked(result.GetIndex())
}

// A power failure loses nothing that was acknowledged after the syncs of all replicas failed in
// turn: entries whose sync failed do not count as durable once the store is open again.
func TestPowerFailureAfterFailedSyncsInTurnLosesNothing(t *testing.T) {
	is := is.New(t)
	sim := newGroup(t, 1)
	for revision, n := range slices.Clone(sim.nodes) {
		n.disk.FailFrom(n.disk.Operations()+1, syscall.ENOSPC, false, saddledisk.Sync)
		sim.submitChanges(uint64(revision), uint64(revision)+1)
		n.disk.FailFrom(0, nil, false)
		is.True(sim.runUntil(recoveryLimit, sim.complete))
	}
	changes := sim.leader().state.Templates()[0].GetRevision()
	sim.restartWithSyncedData()
	is.True(sim.runUntil(recoveryLimit, sim.complete))
	is.Equal(sim.leader().state.Templates()[0].GetRevision(), changes)
	sim.reportViolations()
}
