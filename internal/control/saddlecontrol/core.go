package saddlecontrol

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclock"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlegrant"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequota"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	eventQueueLen    = 1024                   // events queued for the core
	maxEventBatch    = 256                    // events handled before one sync of the log
	maxSweepInterval = 250 * time.Millisecond // longest time between checks for expired members and registrations
)

// snapshotBytes is the size in bytes of the commands between snapshots, whatever their number.
// With one segment between snapshots, the log and the next checkpoint take a third of a disk of
// 64 MB, the smallest that replicas have.
const snapshotBytes = saddlestore.SegmentBytes

// core owns all control state. Its methods run on one goroutine.
type core struct {
	cfg        Config
	store      fireflysaddle.LogStore[*saddlewire.LogEntry, *saddlewire.HardState, *saddlewire.Snapshot]
	replica    *saddlereplica.Replica
	state      *saddlestate.State
	members    *memberTable
	loadGrants *saddlegrant.Table
	joinLeader *saddlewire.Peer // leader that is adding this replica; used while the log of this replica does not hold the membership

	retryQuota  *saddlequota.Table
	registry    *saddleregistry.Table
	quarantines *saddlequarantine.Detector
	engineState EngineState

	engineStateNumber uint64 // number of engine states received

	subscribers map[*subscriber]struct{}
	pending     map[uint64]pendingCommand // proposals without an answer, by log index
	peers       *peerSet
	clock       *saddleclock.Clock
	started     time.Time // start time, with a monotonic clock reading

	applied      uint64
	appliedBytes int64 // size of the commands applied since the latest snapshot
	lastSnapshot uint64
	prevRole     saddlereplica.Role
	prevTerm     uint64

	// Written by the core, read by other goroutines, such as those of the admin listener.
	lease     atomic.Uint64 // current term if this replica leads with a valid lease, else 0
	confirmed atomic.Bool   // whether a majority confirmed the applied state less than an election timeout ago
	logEmpty  atomic.Bool   // whether the log holds no entries

	heard       atomic.Pointer[heardRegistrations]
	updatePause atomic.Int64 // shortest time between two updates to a subscriber, nanoseconds
}

// pendingCommand is a proposal whose caller waits until its entry is committed.
type pendingCommand struct {
	term  uint64
	reply chan *saddlewire.SubmitResponse
}

func newCore(now time.Time, cfg Config, store *saddlestore.Store, loaded saddlestore.Loaded) (*core, error) {
	state := saddlestate.New()
	if loaded.Snapshot.GetIndex() > 0 {
		var err error
		if state, err = saddlestate.Decode(loaded.Snapshot.GetData()); err != nil {
			return nil, err
		}
	}
	replica := saddlereplica.New(now.Round(0), saddlereplica.Config{
		ID:                cfg.Node,
		Members:           initialMembers(cfg),
		HeartbeatInterval: cfg.HeartbeatInterval,
		ElectionTimeout:   cfg.ElectionTimeout,
		Rand:              rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Node)))),
		DesiredVoters:     cfg.DesiredVoters,
		ReplaceAfter:      cfg.ReplaceAfter,
	}, loaded.Hard, loaded.Snapshot, loaded.Entries)
	c := &core{
		cfg:          cfg,
		store:        store,
		replica:      replica,
		state:        state,
		members:      newMemberTable(),
		loadGrants:   saddlegrant.New(cfg.MaxLoads, cfg.NodeLostTimeout),
		retryQuota:   saddlequota.New(),
		registry:     saddleregistry.New(cfg.UnregisterTimeout),
		quarantines:  saddlequarantine.New(),
		subscribers:  map[*subscriber]struct{}{},
		pending:      map[uint64]pendingCommand{},
		peers:        newPeerSet(saddlelink.NetworkOrTCP(cfg.Network), cfg.Node, cfg.ElectionTimeout),
		clock:        saddleclock.New(now, 0),
		started:      now,
		applied:      loaded.Snapshot.GetIndex(),
		lastSnapshot: loaded.Snapshot.GetIndex(),
	}
	c.restoreRegistry(c.now())
	return c, nil
}

// initialMembers returns the replicas of a new group. If this replica joins an existing
// group, initialMembers returns an empty membership, because the replica receives the
// membership from the leader.
func initialMembers(cfg Config) *saddlewire.Membership {
	m := &saddlewire.Membership{}
	if cfg.Join {
		return m
	}
	for _, id := range slices.Sorted(maps.Keys(cfg.Replicas)) {
		m.Replicas = append(m.Replicas, &saddlewire.Peer{Id: id, Address: cfg.Replicas[id], Voter: true})
	}
	return m
}

// now reads the core's clock, against which leases and timeouts are checked.
func (c *core) now() time.Time {
	now := time.Now()
	return c.clock.Read(now, now.Sub(c.started))
}

// run handles events until the context ends or the store fails.
func (c *core) run(ctx context.Context, events <-chan event) error {
	defer c.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case e := <-events:
			e.handle(c.now(), c)
			c.handleQueued(events)
		}
		now := c.now()
		c.replica.Tick(now)
		c.peers.reconcile(ctx, c.knownPeers())
		if err := c.processReady(now); err != nil {
			return err
		}
		c.removeExpired(now)
		c.collectHeard(now, time.Now())
		c.confirmed.Store(c.replica.Confirmed(now))
		c.lease.Store(c.leaseTerm(now))
		c.logEmpty.Store(c.replica.LogEmpty())
		timer.Reset(min(maxSweepInterval, c.replica.NextTick().Sub(c.now())))
	}
}

// leaseTerm returns the current term if this replica leads with a valid lease, else 0.
func (c *core) leaseTerm(now time.Time) uint64 {
	if !c.replica.LeaseValid(now) {
		return 0
	}
	return c.replica.Term()
}

// stop answers the pending commands with an unknown outcome.
func (c *core) stop() {
	c.confirmed.Store(false)
	c.dropPending()
}

// handleQueued handles up to maxEventBatch events that are already queued, so that one sync
// of the log covers all of them.
func (c *core) handleQueued(events <-chan event) {
	for range min(len(events), maxEventBatch) {
		e := <-events
		e.handle(c.now(), c)
	}
}

// processReady carries out the work that the replica returns in Ready, until there
// are no more entries to store.
func (c *core) processReady(now time.Time) error {
	for {
		if err := c.replica.Err(); err != nil {
			return err
		}
		rd := c.replica.Ready()
		if err := c.persist(rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			if m.GetLearner() { // a learner may not hold the membership yet, and replies to this address
				m.Address = c.cfg.Listen
			}
			c.peers.send(m)
		}
		if err := c.applyCommitted(now, rd); err != nil {
			return err
		}
		c.handleRoleChange(now)
		if err := c.snapshotIfDue(); err != nil {
			return err
		}
		if len(rd.Entries) == 0 {
			return nil
		}
		c.replica.MarkStored(now, rd.Entries[len(rd.Entries)-1].GetIndex())
	}
}

// persist stores the hard state, snapshot and entries of a Ready and syncs the log.
func (c *core) persist(rd saddlereplica.Ready) error {
	if rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	if rd.HardState != nil {
		if err := c.store.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if rd.Snapshot != nil {
		if err := c.store.SetSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := c.store.Append(rd.Entries); err != nil {
		return err
	}
	countLogSyncs.Add(1)
	return c.store.Sync()
}

// handleRoleChange records changes of leadership. A replica that stops leading answers
// its pending commands with an unknown outcome, because it can no longer commit them. A
// replica that starts to lead resets its grants and quotas.
func (c *core) handleRoleChange(now time.Time) {
	role := c.replica.Role()
	term := c.replica.Term()
	if role == c.prevRole && (term == c.prevTerm || role != saddlereplica.Leader) {
		return
	}
	if role == saddlereplica.Leader || c.prevRole == saddlereplica.Leader {
		countLeaderChanges.Add(1)
		c.cfg.Log.Info().Str("role", role.String()).Uint64("term", c.replica.Term()).Msg("control role changed")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "role_" + role.String(), Term: c.replica.Term()})
	}
	if c.prevRole == saddlereplica.Leader {
		c.dropPending()
	}
	if role == saddlereplica.Leader {
		c.loadGrants.StartTerm(now)
		c.retryQuota.StartTerm(now)
	}
	c.prevRole = role
	c.prevTerm = term
}

// dropPending answers the pending commands with an unknown outcome. A caller obtains
// the outcome by resending the command with the same request id.
func (c *core) dropPending() {
	for index, p := range c.pending {
		p.reply <- &saddlewire.SubmitResponse{Leader: c.leaderAddress()}
		delete(c.pending, index)
	}
}

// removeExpired removes the members and registrations without heartbeats and informs the
// subscribers.
func (c *core) removeExpired(now time.Time) {
	lost := c.members.removeExpired(now, c.cfg.NodeLostTimeout)
	for _, node := range lost {
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "member_lost", Subject: node})
	}
	unregistered := c.registry.RemoveExpired(now)
	for _, id := range unregistered {
		c.cfg.Log.Info().Str("target", id).Dur("silence", c.cfg.UnregisterTimeout).Msg("target unregistered: no report within the time limit")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "unregistered", Target: id})
	}
	if len(lost)+len(unregistered) > 0 {
		c.wakeSubscribers()
	}
}

func (c *core) wakeSubscribers() {
	c.updatePause.Store(int64(updatePause(len(c.subscribers))))
	for sub := range c.subscribers {
		sub.wake()
	}
}

// wakeControls wakes the control processes among the subscribers.
func (c *core) wakeControls() {
	for sub := range c.subscribers {
		if sub.role == fireflysaddle.RoleControl {
			sub.wake()
		}
	}
}
