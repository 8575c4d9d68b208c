package saddlecontrol

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlereplica"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
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

	attendees map[*attendee]struct{}
	pending   map[uint64]pendingCommand // by log index
	peers     map[string]*peer

	applied      uint64
	lastSnapshot uint64
	wasRole      saddlereplica.Role

	confirmed atomic.Bool // read by the admin listener
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
	voters := make([]string, 0, len(cfg.Replicas))
	for id := range cfg.Replicas {
		voters = append(voters, id)
	}
	replica := saddlereplica.New(now, saddlereplica.Config{
		ID:        cfg.Node,
		Voters:    voters,
		Heartbeat: cfg.Heartbeat,
		Election:  cfg.Election,
		Rand:      rand.New(rand.NewPCG(cfg.Incarnation, uint64(len(cfg.Node)))),
	}, loaded.Hard, loaded.Snapshot, loaded.Entries)
	return &core{
		cfg:          cfg,
		store:        store,
		replica:      replica,
		state:        state,
		members:      newMemberTable(),
		attendees:    map[*attendee]struct{}{},
		pending:      map[uint64]pendingCommand{},
		peers:        map[string]*peer{},
		applied:      loaded.Snapshot.GetIndex(),
		lastSnapshot: loaded.Snapshot.GetIndex(),
	}, nil
}

// run takes in events until the context ends or the store fails.
func (c *core) run(ctx context.Context, events <-chan event) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case e := <-events:
			e.handle(time.Now(), c)
			c.drainQueue(events)
		}
		now := time.Now()
		c.replica.Tick(now)
		if err := c.settle(now); err != nil {
			return err
		}
		c.sweep(now)
		c.confirmed.Store(c.replica.Confirmed(now))
		timer.Reset(min(maxIdle, time.Until(c.replica.Next())))
	}
}

// drainQueue takes more events, so that one sync serves them all.
func (c *core) drainQueue(events <-chan event) {
	for range min(len(events), maxEventBatch) {
		e := <-events
		e.handle(time.Now(), c)
	}
}

// settle does what the replica asks for, until it asks for nothing.
func (c *core) settle(now time.Time) error {
	for {
		rd := c.replica.Ready()
		if err := c.persist(rd); err != nil {
			return err
		}
		for _, m := range rd.Messages {
			c.sendMessage(m)
		}
		c.applyAll(now, rd)
		c.noteRole(now)
		if err := c.snapshot(); err != nil {
			return err
		}
		if len(rd.Entries) == 0 {
			return nil
		}
		c.replica.Stored(now, rd.Entries[len(rd.Entries)-1].GetIndex())
	}
}

func (c *core) persist(rd saddlereplica.Ready) error {
	if rd.Hard == nil && rd.Snapshot == nil && len(rd.Entries) == 0 {
		return nil
	}
	if rd.Hard != nil {
		if err := c.store.SetHard(rd.Hard); err != nil {
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

func (c *core) sendMessage(m *saddlewire.Message) {
	if p, ok := c.peers[m.GetTo()]; ok {
		p.send(m)
	}
}

// noteRole answers the commands that this replica can no longer decide when it
// stops leading.
func (c *core) noteRole(now time.Time) {
	role := c.replica.Role()
	if role == c.wasRole {
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
	c.wasRole = role
}

// dropPending answers that the outcome is open; a resend under the same
// request id learns it.
func (c *core) dropPending() {
	for index, p := range c.pending {
		p.reply <- &saddlewire.SubmitResponse{Leader: c.leaderAddress()}
		delete(c.pending, index)
	}
}

func (c *core) leaderAddress() string {
	return c.cfg.Replicas[c.replica.LeaderID()]
}

func (c *core) sweep(now time.Time) {
	lost := c.members.sweep(now, c.cfg.Lost)
	for _, node := range lost {
		c.cfg.Timeline.Add(now, saddletimeline.Event{Name: "member_lost", Subject: node})
	}
	if len(lost) > 0 {
		c.wakeAttendees()
	}
}

func (c *core) wakeAttendees() {
	for a := range c.attendees {
		a.wake()
	}
}
