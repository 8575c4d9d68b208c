package saddlecontrol

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// attendee is a node that attends. Its sent fields belong to the core.
type attendee struct {
	node   string
	role   fireflysaddle.Role
	notify chan struct{} // of capacity 1: there is something to pull

	started  bool
	revision uint64   // configuration revision sent
	version  uint64   // member version sent
	replicas []string // addresses sent; a replica that is not confirmed sends none
	registry uint64   // version of the registrations sent

	echoNs atomic.Int64 // of the latest heartbeat taken in
}

func newAttendee(m *saddlewire.Member) *attendee {
	return &attendee{node: m.GetNode(), role: fireflysaddle.Role(m.GetRole()), notify: make(chan struct{}, 1)}
}

func (a *attendee) wake() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// replicaAddresses returns where the control replicas are reached.
func (c *core) replicaAddresses() []string {
	var out []string
	for _, p := range c.replica.CommittedMembers() {
		out = append(out, p.GetAddress())
	}
	return out
}

// update returns what the attendee does not know yet. Agents are told of no
// members: they choose no targets.
func (c *core) update(now time.Time, a *attendee) *saddlewire.Update {
	u := &saddlewire.Update{
		Snapshot:  !a.started,
		Revision:  c.state.Revision(),
		Confirmed: c.replica.Confirmed(now),
		Stamp:     c.cfg.Timeline.Stamp(now),
		Routing:   c.state.Routing().GetVersion(),
		EchoNs:    a.echoNs.Load(),
	}
	if !a.started || a.revision != u.GetRevision() {
		u.Deployments, u.Drains = c.state.DeploymentsAndDrainsSince(a.revision)
		u.Placements = c.state.PlacementsSince(a.revision)
		u.Departures = c.state.DeparturesSince(a.revision)
	}
	if a.role == fireflysaddle.RoleAgent {
		u.MayLoad = c.mayLoad(now, a.node)
	}
	if a.role != fireflysaddle.RoleAgent {
		u.Members, u.Gone = c.members.since(a.version)
	}
	if a.role == fireflysaddle.RoleEntry {
		u.Loads = c.members.loads()
		if c.replica.LeaseValid(now) {
			u.Leads = true
			u.Paces = c.engines.Paces
			u.Occupied = c.engines.Occupied
		}
	}
	if a.role != fireflysaddle.RoleAgent {
		u.Registrations, u.Unregistered = c.registry.Since(a.registry)
		a.registry = c.registry.Version()
	}
	if replicas := c.replicaAddresses(); u.GetConfirmed() && !slices.Equal(replicas, a.replicas) {
		u.Replicas = replicas
		a.replicas = replicas
	}
	a.started = true
	a.revision = u.GetRevision()
	a.version = c.members.version
	countUpdates.Add(1)
	return u
}

// mayLoad reports whether the engine beside an agent may begin a load. Only a
// leader with a lease grants one, so that there is one count.
func (c *core) mayLoad(now time.Time, node string) bool {
	if !c.members.needsLoad(node) || !c.replica.LeaseValid(now) {
		return false
	}
	return c.grants.Allow(now, node)
}
