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
	eventQueue    = 1024                   // events waiting for the core
	maxEventBatch = 256                    // events taken before one sync
	maxIdle       = 250 * time.Millisecond // time between sweeps of the members
)

// core owns all control state. Its methods run on one goroutine.
type core struct {
	cfg     Config
	store   fireflysaddle.LogStore[*saddlewire.LogEntry, *saddlewire.HardState, *saddlewire.Snapshot]
	replica *saddlereplica.Replica
	state   *saddlestate.State
	members *memberTable
	grants  *saddlegrant.Table
	sender  *saddlewire.Peer // that let this replica in, before its log names the others

	quota    *saddlequota.Table
	registry *saddleregistry.Table
	engines  EngineState

	attendees map[*attendee]struct{}
	pending   map[uint64]pendingCommand // by log index
	peers     *peerSet
	clock     *saddleclock.Clock
	started   time.Time // with a monotonic reading

	applied      uint64
	lastSnapshot uint64
	wasRole      saddlereplica.Role
	wasTerm      uint64

	lease     atomic.Uint64 // term that this replica leads with a lease, else 0
	confirmed atomic.Bool   // read by the admin listener, as is empty
	empty     atomic.Bool
}

// pendingCommand waits for its entry to be committed.
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
		Members:           firstMembers(cfg),
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
		grants:       saddlegrant.New(cfg.MaxLoads, cfg.NodeLostTimeout),
		quota:        saddlequota.New(),
		registry:     saddleregistry.New(cfg.UnregisterTimeout),
		attendees:    map[*attendee]struct{}{},
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

// firstMembers returns the replicas of a new group; one that joins an old group
// learns of its replicas from the leader.
func firstMembers(cfg Config) *saddlewire.Membership {
	m := &saddlewire.Membership{}
	if cfg.Join {
		return m
	}
	for _, id := range slices.Sorted(maps.Keys(cfg.Replicas)) {
		m.Replicas = append(m.Replicas, &saddlewire.Peer{Id: id, Address: cfg.Replicas[id], Voter: true})
	}
	return m
}

// now returns the core's time, by which leases and silences are judged.
func (c *core) now() time.Time {
	now := time.Now()
	return c.clock.Read(now, now.Sub(c.started))
}

// run takes in events until the context ends or the store fails.
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
			c.drainQueue(events)
		}
		now := c.now()
		c.replica.Tick(now)
		c.peers.follow(ctx, c.neighbours())
		if err := c.settle(now); err != nil {
			return err
		}
		c.sweep(now)
		c.confirmed.Store(c.replica.Confirmed(now))
		c.lease.Store(c.leaseTerm(now))
		c.empty.Store(c.replica.LogEmpty())
		timer.Reset(min(maxIdle, c.replica.NextTick().Sub(c.now())))
	}
}

// leaseTerm returns the term that this replica leads with a lease, else 0.
func (c *core) leaseTerm(now time.Time) uint64 {
	if !c.replica.LeaseValid(now) {
		return 0
	}
	return c.replica.Term()
}

// stop answers those who wait for a command; its outcome is open.
func (c *core) stop() {
	c.confirmed.Store(false)
	c.dropPending()
}

// drainQueue takes more events, so that one sync serves them all.
func (c *core) drainQueue(events <-chan event) {
	for range min(len(events), maxEventBatch) {
		e := <-events
		e.handle(c.now(), c)
	}
}

// settle does what the replica asks for, until it asks for nothing.
func (c *core) settle(now time.Time) error {
	for {
		if err := c.replica.Err(); err != nil {
			return err
		}
		rd := c.replica.Ready()
		if err := c.persist(rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			if m.GetLearner() {
				m.Address = c.cfg.Listen
			}
			c.peers.send(m)
		}
		if err := c.applyAll(now, rd); err != nil {
			return err
		}
		c.noteRole(now)
		if err := c.snapshot(); err != nil {
			return err
		}
		if len(rd.Entries) == 0 {
			return nil
		}
		c.replica.MarkStored(now, rd.Entries[len(rd.Entries)-1].GetIndex())
	}
}

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
	countSyncs.Add(1)
	return c.store.Sync()
}

// noteRole answers the commands that this replica can no longer decide when it
// stops leading.
func (c *core) noteRole(now time.Time) {
	role := c.replica.Role()
	term := c.replica.Term()
	if role == c.wasRole && (term == c.wasTerm || role != saddlereplica.Leader) {
		return
	}
	if role == saddlereplica.Leader || c.wasRole == saddlereplica.Leader {
		countElections.Add(1)
		c.cfg.Log.Info().Str("role", role.String()).Uint64("term", c.replica.Term()).Msg("control role changed")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "role_" + role.String(), Term: c.replica.Term()})
	}
	if c.wasRole == saddlereplica.Leader {
		c.dropPending()
	}
	if role == saddlereplica.Leader {
		c.grants.Lead(now)
		c.quota.Lead(now)
	}
	c.wasRole = role
	c.wasTerm = term
}

// dropPending answers that the outcome is open; a resend under the same
// request id learns it.
func (c *core) dropPending() {
	for index, p := range c.pending {
		p.reply <- &saddlewire.SubmitResponse{Leader: c.leaderAddress()}
		delete(c.pending, index)
	}
}

func (c *core) sweep(now time.Time) {
	lost := c.members.sweep(now, c.cfg.NodeLostTimeout)
	for _, node := range lost {
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "member_lost", Subject: node})
	}
	silent := c.registry.Sweep(now)
	for _, id := range silent {
		c.cfg.Log.Info().Str("target", id).Dur("silence", c.cfg.UnregisterTimeout).Msg("target fell silent and is no longer registered")
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "unregistered", Target: id})
	}
	if len(lost)+len(silent) > 0 {
		c.wakeAttendees()
	}
}

func (c *core) wakeAttendees() {
	for a := range c.attendees {
		a.wake()
	}
}
