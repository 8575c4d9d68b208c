package saddlecontrol

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// subscriber is a node with an open Attend stream. Only the core's goroutine uses the
// fields that record what was sent.
type subscriber struct {
	node   string
	role   fireflysaddle.Role
	notify chan struct{} // of capacity 1; signals that an update is available

	snapshotSent        bool
	sentRevision        uint64   // configuration revision
	sentMembersVersion  uint64   // version of the member table
	sentReplicas        []string // addresses of the replicas; sent only while the applied state is confirmed
	sentRegistryVersion uint64   // version of the registrations
	sentEngines         engineStateVersion

	echoNs atomic.Int64 // send time, by the node's clock, of the latest heartbeat; returned in updates
}

// engineStateVersion identifies an engine state that a leader sent to a subscriber. The
// term is part of it because another leader may have sent its own in between.
type engineStateVersion struct {
	term, number uint64
}

func newSubscriber(m *saddlewire.Member) *subscriber {
	return &subscriber{node: m.GetNode(), role: fireflysaddle.Role(m.GetRole()), notify: make(chan struct{}, 1)}
}

func (s *subscriber) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// replicaAddresses returns the addresses of the replicas of the committed membership.
func (c *core) replicaAddresses() []string {
	var out []string
	for _, p := range c.replica.CommittedMembers() {
		out = append(out, p.GetAddress())
	}
	return out
}

// snapshotNeed returns how the first update to a subscriber is to be sent. Only entries wait for
// a turn: agents receive no registrations, and the other replicas are few.
func (c *core) snapshotNeed(sub *subscriber) snapshotNeed {
	return snapshotNeed{
		large:       sub.role == fireflysaddle.RoleEntry && c.registry.Len() >= largeRegistry,
		firstSource: isFirstSource(c.cfg.Listen, sub.node, c.replicaAddresses()),
	}
}

// nextUpdate returns what changed since the subscriber's last update. Agents receive
// neither members nor registrations, because they select no targets.
func (c *core) nextUpdate(now time.Time, sub *subscriber) *saddlewire.Update {
	u := &saddlewire.Update{
		Snapshot:  !sub.snapshotSent,
		Revision:  c.state.Revision(),
		Confirmed: c.replica.Confirmed(now),
		Stamp:     c.cfg.Timeline.Stamp(now),
		Routing:   c.state.Routing().GetVersion(),
		EchoNs:    sub.echoNs.Load(),
	}
	if !sub.snapshotSent || sub.sentRevision != u.GetRevision() {
		u.Deployments, u.Drains = c.state.DeploymentsAndDrainsSince(sub.sentRevision)
		u.Placements = c.state.PlacementsSince(sub.sentRevision)
		u.Departures = c.state.DeparturesSince(sub.sentRevision)
	}
	if sub.role == fireflysaddle.RoleAgent {
		u.MayLoad = c.mayLoad(now, sub.node)
	}
	if sub.role != fireflysaddle.RoleAgent {
		u.Members, u.Gone = c.members.changesSince(sub.sentMembersVersion, sub.role == fireflysaddle.RoleControl)
	}
	if sub.role == fireflysaddle.RoleEntry {
		c.addReports(now, u, sub)
	}
	if sub.role != fireflysaddle.RoleAgent {
		u.Registrations, u.Unregistered = c.registry.Since(sub.sentRegistryVersion)
		sub.sentRegistryVersion = c.registry.Version()
	}
	if replicas := c.replicaAddresses(); u.GetConfirmed() && !slices.Equal(replicas, sub.sentReplicas) {
		u.Replicas = replicas
		sub.sentReplicas = replicas
	}
	sub.snapshotSent = true
	sub.sentRevision = u.GetRevision()
	sub.sentMembersVersion = c.members.version
	countUpdates.Add(1)
	return u
}

// addReports adds what the other entries report, and the state of the engines, to an update
// for an entry.
func (c *core) addReports(now time.Time, u *saddlewire.Update, sub *subscriber) {
	u.Leads = c.replica.LeaseValid(now)
	if c.sendsReports(now) {
		c.members.reports.addTo(u, c.members.find(sub.node))
		c.quarantines.AddTo(u)
	}
	if !u.GetLeads() {
		sub.sentEngines = engineStateVersion{}
		return
	}
	current := engineStateVersion{term: c.replica.Term(), number: c.engineStateNumber}
	if sub.sentEngines == current {
		u.EnginesUnchanged = true
		return
	}
	sub.sentEngines = current
	u.Paces = c.engineState.StepTimeFactors
	u.Occupied = c.engineState.OccupiedTokens
}

// sendsReports reports whether this replica sends the entries what the others report. Every
// replica receives these reports. Only the leader sends them, or any replica while no leader
// confirms its state.
func (c *core) sendsReports(now time.Time) bool {
	return c.replica.LeaseValid(now) || !c.replica.Confirmed(now)
}

// mayLoad reports whether the engine of an agent may start to load weights. Only a
// leader with a valid lease grants this, so that all grants are counted in one place.
func (c *core) mayLoad(now time.Time, node string) bool {
	if !c.members.needsLoad(node) || !c.replica.LeaseValid(now) {
		return false
	}
	return c.loadGrants.Allow(now, node)
}
