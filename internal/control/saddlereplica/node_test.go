package saddlereplica_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	snapshotEvery = 40   // entries
	segmentBytes  = 2000 // of the stores' segments
	messageBytes  = 700  // of entries or snapshot data in a message
)

// node runs one replica as the control daemon does: persist, send, apply.
type node struct {
	w     *world
	id    string
	first *saddlewire.Membership // of its settings
	disk  *saddledisk.Memory
	rate  float64 // of its clock
	ahead time.Duration

	up           bool
	frozen       bool
	held         []func() // arrived while it was frozen
	crashIn      int      // steps other than of the disk until it crashes; 0: never
	err          error    // why the replica ended itself
	store        *saddlestore.Store
	replica      *saddlereplica.Replica
	state        *saddlestate.State
	pending      map[uint64]pendingReply
	applied      uint64
	lastSnapshot uint64
}

type pendingReply struct {
	term  uint64
	reply func(*saddlewire.SubmitResponse)
}

// addNode starts a replica with an empty disk.
func (w *world) addNode(id string, first *saddlewire.Membership) *node {
	n := &node{
		w: w, id: id, first: first, disk: saddledisk.New(),
		rate:  0.97 + 0.06*w.rng.Float64(),
		ahead: w.between(0, time.Hour),
	}
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

// local returns the node's clock.
func (n *node) local() time.Time {
	return start.Add(n.ahead + time.Duration(float64(n.w.now.Sub(start))*n.rate))
}

func (n *node) running() bool { return n.up && !n.frozen }

func (n *node) start() {
	store, loaded, _, err := saddlestore.OpenFS(n.disk, segmentBytes)
	if err != nil {
		n.w.fail(fmt.Sprintf("%s cannot open its store: %v", n.id, err))
		return
	}
	n.store = store
	n.state = saddlestate.New()
	if loaded.Snapshot.GetIndex() > 0 {
		if n.state, err = saddlestate.Decode(loaded.Snapshot.GetData()); err != nil {
			n.w.fail(err.Error())
			return
		}
	}
	n.replica = saddlereplica.New(n.local(), saddlereplica.Config{
		ID: n.id, Members: n.first, HeartbeatInterval: heartbeat, ElectionTimeout: election, MessageBytes: messageBytes,
		Rand: rand.New(rand.NewPCG(n.w.rng.Uint64(), 1)),
	}, loaded.Hard, loaded.Snapshot, loaded.Entries)
	n.pending = map[uint64]pendingReply{}
	n.applied = loaded.Snapshot.GetIndex()
	n.lastSnapshot = n.applied
	n.crashIn = 0
	n.err = nil
	n.up = true
}

// crash ends the process at once. Of what was not synced a part may remain.
func (n *node) crash() {
	if !n.up {
		return
	}
	n.up = false
	n.frozen = false
	n.held = nil
	n.disk = n.disk.Reboot(n.w.chance(0.5), n.w.chance(0.5))
}

// wipe loses the disk of a node that has crashed.
func (n *node) wipe() { n.disk = saddledisk.New() }

func (n *node) freeze() { n.frozen = n.up }

// thaw goes on with what arrived in the meantime.
func (n *node) thaw() {
	n.frozen = false
	held := n.held
	n.held = nil
	for _, run := range held {
		run()
	}
}

// receive handles something that arrived; lost is called when nobody is there.
func (n *node) receive(handle, lost func()) {
	switch {
	case !n.up:
		lost()
	case n.frozen:
		n.held = append(n.held, func() { n.receive(handle, lost) })
	default:
		handle()
		n.settle()
	}
}

func (n *node) tick() {
	n.replica.Tick(n.local())
	n.settle()
}

// step counts down to a crash and reports whether the node still runs.
func (n *node) step() bool {
	if n.crashIn > 0 {
		n.crashIn--
		if n.crashIn == 0 {
			n.crash()
		}
	}
	return n.up
}

// settle does what the replica asks for, as the daemon's core does.
func (n *node) settle() {
	for n.up {
		if n.err = n.replica.Err(); n.err != nil {
			n.up = false
			return
		}
		rd := n.replica.Ready()
		if n.persist(rd) != nil {
			n.crash()
			return
		}
		for _, m := range rd.Messages {
			if !n.step() {
				return
			}
			n.w.send(m)
		}
		if !n.applyAll(rd) {
			return
		}
		if n.replica.Role() != saddlereplica.Leader {
			n.dropPending()
		}
		if n.snapshot() != nil {
			n.crash()
			return
		}
		if len(rd.Entries) == 0 {
			return
		}
		n.replica.MarkStored(n.local(), rd.Entries[len(rd.Entries)-1].GetIndex())
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
			n.w.fail(err.Error())
			return false
		}
		n.state = state
		n.applied = s.GetIndex()
		n.lastSnapshot = s.GetIndex()
	}
	for _, e := range rd.Committed {
		if !n.step() {
			return false
		}
		n.apply(e)
	}
	return n.up
}

// apply also checks that all replicas commit the same entry at an index.
func (n *node) apply(e *saddlewire.LogEntry) {
	text := fmt.Sprintf("%d %x %s", e.GetTerm(), e.GetData(), e.GetMembership())
	if old, ok := n.w.entries[e.GetIndex()]; ok && old != text {
		n.w.fail(fmt.Sprintf("%s commits another entry at %d", n.id, e.GetIndex()))
	}
	n.w.entries[e.GetIndex()] = text
	if e.GetIndex() != n.applied+1 {
		n.w.fail(fmt.Sprintf("%s applies %d after %d", n.id, e.GetIndex(), n.applied))
	}
	n.applied = e.GetIndex()
	var result *saddlewire.Result
	if len(e.GetData()) > 0 {
		command := &saddlewire.Command{}
		if err := proto.Unmarshal(e.GetData(), command); err != nil {
			n.w.fail(err.Error())
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
	if n.step() {
		p.reply(&saddlewire.SubmitResponse{Result: result})
	}
}

func (n *node) dropPending() {
	for _, index := range slices.Sorted(maps.Keys(n.pending)) {
		p := n.pending[index]
		delete(n.pending, index)
		p.reply(&saddlewire.SubmitResponse{})
	}
}

func (n *node) snapshot() error {
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
	if !n.replica.LeaseValid(n.local()) {
		reply(&saddlewire.SubmitResponse{Refused: true, Leader: n.replica.LeaderID()})
		return
	}
	data, err := proto.Marshal(command)
	if err != nil {
		n.w.fail(err.Error())
		return
	}
	index, err := n.replica.Propose(n.local(), data)
	if err != nil {
		reply(&saddlewire.SubmitResponse{Refused: true})
		return
	}
	n.pending[index] = pendingReply{term: n.replica.Term(), reply: reply}
}

// read answers as the daemon's core does.
func (n *node) read(reply func(*saddlewire.ReadResponse)) {
	reply(&saddlewire.ReadResponse{
		Current:   n.replica.LeaseValid(n.local()),
		Revision:  n.state.Revision(),
		Templates: n.state.Templates(),
	})
}
