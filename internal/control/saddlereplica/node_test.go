package saddlereplica_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	snapshotEvery = 40   // entries between snapshots
	segmentBytes  = 2000 // size of the store's segments
	messageBytes  = 700  // limit on entries or snapshot data in a message

	reopenDelay = 300 * time.Millisecond // as in the control daemon
)

// node runs one replica in the order of the control daemon: persist, send, apply.
type node struct {
	sim *simulation
	id  string
	// initialMembers is the membership with which the replica starts on an empty disk. It is
	// empty if the node joins an existing group. It is set to nil when the replacement of a
	// node that lost its disk starts, and such a node is never restarted.
	initialMembers *saddlewire.Membership
	disk           *saddledisk.Memory
	clockRate      float64 // speed of its clock relative to virtual time
	clockOffset    time.Duration

	up              bool
	frozen          bool
	deferred        []func() // events that arrived while it was frozen
	stepsUntilCrash int      // messages sent, entries applied and replies given until it crashes; 0 disables the crash
	err             error    // error with which the replica stopped
	store           *saddlestore.Store
	closeStore      func() error
	replica         *saddlereplica.Replica
	state           *saddlestate.State
	pending         map[uint64]pendingReply
	applied         uint64
	lastSnapshot    uint64
}

// pendingReply is the reply to a command that is proposed but not yet applied.
type pendingReply struct {
	term  uint64
	reply func(*saddlewire.SubmitResponse)
}

// addNode starts a replica with an empty disk.
func (sim *simulation) addNode(id string, initialMembers *saddlewire.Membership) *node {
	n := &node{
		sim: sim, id: id, initialMembers: initialMembers, disk: saddledisk.New(),
		clockRate:   0.97 + 0.06*sim.rng.Float64(),
		clockOffset: sim.randomDuration(0, time.Hour),
	}
	sim.nodes = append(sim.nodes, n)
	n.start()
	return n
}

// clockNow returns the time of the node's clock.
func (n *node) clockNow() time.Time {
	return start.Add(n.clockOffset + time.Duration(float64(n.sim.now.Sub(start))*n.clockRate))
}

func (n *node) running() bool { return n.up && !n.frozen }

func (n *node) start() {
	store, loaded, closeStore, err := saddlestore.OpenFS(n.disk, segmentBytes)
	if errors.Is(err, syscall.ENOSPC) {
		n.sim.schedule(reopenDelay, n.start)
		return
	}
	if err != nil {
		n.sim.addViolation(fmt.Sprintf("%s cannot open its store: %v", n.id, err))
		return
	}
	n.store = store
	n.closeStore = closeStore
	n.state = saddlestate.New()
	if loaded.Snapshot.GetIndex() > 0 {
		if n.state, err = saddlestate.Decode(loaded.Snapshot.GetData()); err != nil {
			n.sim.addViolation(err.Error())
			return
		}
	}
	n.replica = saddlereplica.New(n.clockNow(), saddlereplica.Config{
		ID: n.id, Members: n.initialMembers, HeartbeatInterval: heartbeat, ElectionTimeout: election, MessageBytes: messageBytes,
		DesiredVoters: n.sim.desiredVoters, ReplaceAfter: n.sim.replaceAfter,
		Rand: rand.New(rand.NewPCG(n.sim.rng.Uint64(), 1)),
	}, loaded.Hard, loaded.Snapshot, loaded.Entries)
	n.pending = map[uint64]pendingReply{}
	n.applied = loaded.Snapshot.GetIndex()
	n.lastSnapshot = n.applied
	n.stepsUntilCrash = 0
	n.err = nil
	n.up = true
}

// crash ends the process immediately. Part of the unsynced data may survive.
func (n *node) crash() {
	if !n.up {
		return
	}
	n.up = false
	n.frozen = false
	n.deferred = nil
	n.disk = n.disk.Reboot(n.sim.chance(0.5), n.sim.chance(0.5))
}

// storeFailed ends the replica after an error of its store. On a full disk the process goes
// on and opens the replica again, as the control daemon does.
func (n *node) storeFailed(err error) {
	if !errors.Is(err, syscall.ENOSPC) {
		n.crash()
		return
	}
	n.failPending()
	n.up = false
	n.sim.schedule(reopenDelay, n.reopen)
}

// reopen opens the replica again once its store can be closed.
func (n *node) reopen() {
	if n.closeStore() != nil {
		n.sim.schedule(reopenDelay, n.reopen)
		return
	}
	n.start()
}

// wipe erases the disk of a crashed node.
func (n *node) wipe() { n.disk = saddledisk.New() }

func (n *node) freeze() { n.frozen = n.up }

// unfreeze resumes the node and processes the deferred events.
func (n *node) unfreeze() {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// receive runs handle, or defers it while the node is frozen. It calls lost if the
// node is down.
func (n *node) receive(handle, lost func()) {
	switch {
	case !n.up:
		lost()
	case n.frozen:
		n.deferred = append(n.deferred, func() { n.receive(handle, lost) })
	default:
		handle()
		n.processReady()
	}
}

func (n *node) tick() {
	n.replica.Tick(n.clockNow())
	n.processReady()
}

// countStep crashes the node when stepsUntilCrash reaches zero and reports whether
// the node is up.
func (n *node) countStep() bool {
	if n.stepsUntilCrash > 0 {
		n.stepsUntilCrash--
		if n.stepsUntilCrash == 0 {
			n.crash()
		}
	}
	return n.up
}

// processReady carries out the work in Ready, as the daemon's core does.
func (n *node) processReady() {
	for n.up {
		if n.err = n.replica.Err(); n.err != nil {
			n.up = false
			return
		}
		rd := n.replica.Ready()
		if err := n.persist(rd); err != nil {
			n.storeFailed(err)
			return
		}
		for _, m := range rd.Messages {
			if !n.countStep() {
				return
			}
			n.sim.send(m)
		}
		if !n.applyAll(rd) {
			return
		}
		if n.replica.Role() != saddlereplica.Leader {
			n.failPending()
		}
		if err := n.takeSnapshot(); err != nil {
			n.storeFailed(err)
			return
		}
		if len(rd.Entries) == 0 {
			return
		}
		n.replica.MarkStored(n.clockNow(), rd.Entries[len(rd.Entries)-1].GetIndex())
	}
}

func (n *node) persist(rd saddlereplica.Ready) error {
	if rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	if rd.HardState != nil {
		if err := n.store.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		if err := n.store.SetSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := n.store.Append(rd.Entries); err != nil {
		return err
	}
	return n.store.Sync()
}

func (n *node) applyAll(rd saddlereplica.Ready) bool {
	if s := rd.Snapshot; s != nil {
		state, err := saddlestate.Decode(s.GetData())
		if err != nil {
			n.sim.addViolation(err.Error())
			return false
		}
		n.state = state
		n.applied = s.GetIndex()
		n.lastSnapshot = s.GetIndex()
	}
	for _, e := range rd.Committed {
		if !n.countStep() {
			return false
		}
		n.apply(e)
	}
	return n.up
}

// apply applies a committed entry and checks that all replicas commit the same
// entry at each index.
func (n *node) apply(e *saddlewire.LogEntry) {
	text := fmt.Sprintf("%d %x %s", e.GetTerm(), e.GetData(), e.GetMembership())
	if old, ok := n.sim.committed[e.GetIndex()]; ok && old != text {
		n.sim.addViolation(fmt.Sprintf("%s commits a different entry at index %d", n.id, e.GetIndex()))
	}
	n.sim.committed[e.GetIndex()] = text
	if e.GetIndex() != n.applied+1 {
		n.sim.addViolation(fmt.Sprintf("%s applies index %d after %d", n.id, e.GetIndex(), n.applied))
	}
	n.applied = e.GetIndex()
	var result *saddlewire.Result
	if len(e.GetData()) > 0 {
		command := &saddlewire.Command{}
		if err := proto.Unmarshal(e.GetData(), command); err != nil {
			n.sim.addViolation(err.Error())
			return
		}
		result = n.state.Apply(e.GetIndex(), command)
	}
	p, ok := n.pending[e.GetIndex()]
	if !ok {
		return
	}
	delete(n.pending, e.GetIndex())
	if p.term != e.GetTerm() {
		result = nil
	}
	if n.countStep() {
		p.reply(&saddlewire.SubmitResponse{Result: result})
	}
}

// failPending answers all pending commands without a result, because their outcome
// is unknown.
func (n *node) failPending() {
	for _, index := range slices.Sorted(maps.Keys(n.pending)) {
		p := n.pending[index]
		delete(n.pending, index)
		p.reply(&saddlewire.SubmitResponse{})
	}
}

// takeSnapshot stores a snapshot and compacts the log after every snapshotEvery
// entries.
func (n *node) takeSnapshot() error {
	if n.applied-n.lastSnapshot < snapshotEvery {
		return nil
	}
	data, err := n.state.Encode()
	if err != nil {
		return err
	}
	s := n.replica.MakeSnapshot(data)
	if s == nil {
		return nil
	}
	if err := n.store.SetSnapshot(s); err != nil {
		return err
	}
	n.replica.Compact(s)
	n.lastSnapshot = n.applied
	return nil
}

// submit proposes a command as the daemon's core does.
func (n *node) submit(command *saddlewire.Command, reply func(*saddlewire.SubmitResponse)) {
	if !n.replica.LeaseValid(n.clockNow()) {
		reply(&saddlewire.SubmitResponse{Refused: true, Leader: n.replica.LeaderID()})
		return
	}
	data, err := proto.Marshal(command)
	if err != nil {
		n.sim.addViolation(err.Error())
		return
	}
	index, err := n.replica.Propose(n.clockNow(), data)
	if err != nil {
		reply(&saddlewire.SubmitResponse{Refused: true})
		return
	}
	n.pending[index] = pendingReply{term: n.replica.Term(), reply: reply}
}

// read answers a read as the daemon's core does.
func (n *node) read(reply func(*saddlewire.ReadResponse)) {
	reply(&saddlewire.ReadResponse{
		Current:   n.replica.LeaseValid(n.clockNow()),
		Revision:  n.state.Revision(),
		Templates: n.state.Templates(),
	})
}
