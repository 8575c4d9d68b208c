package saddleview

import (
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// updateRegistry applies the registrations and departures of targets without an
// agent, the version of the routing configuration that the replica holds, and the
// time of the heartbeat that a confirmed update answers.
func (b *Builder) updateRegistry(s *replicaState, u *saddlewire.Update) {
	if u.GetSnapshot() {
		for id := range s.registrations {
			b.registry.markChanged(id)
		}
		clear(s.registrations)
	}
	for _, reg := range u.GetRegistrations() {
		s.registrations[reg.GetId()] = reg
		b.registry.markChanged(reg.GetId())
	}
	for _, id := range u.GetUnregistered() {
		delete(s.registrations, id)
		b.registry.markChanged(id)
	}
	for _, d := range u.GetDepartures() {
		b.registry.depart(d.GetTarget(), d.GetIncarnation())
	}
	s.routingVersion = max(s.routingVersion, u.GetRouting())
	if u.GetConfirmed() {
		s.confirmedNs = max(s.confirmedNs, u.GetEchoNs())
	}
}

// mergeRouting sets the newest version of the routing configuration, the
// connected replicas that hold it, and the time up to which the view is confirmed.
func (b *Builder) mergeRouting(v *View) {
	for _, s := range b.replicas {
		v.RoutingVersion = max(v.RoutingVersion, s.routingVersion)
		v.ConfirmedNs = max(v.ConfirmedNs, s.confirmedNs)
	}
	var holders []string
	for address, s := range b.replicas {
		if s.connected && s.routingVersion == v.RoutingVersion {
			holders = append(holders, address)
		}
	}
	slices.Sort(holders)
	v.RoutingSources = holders
}

// mergeRegistry merges the latest registration of each target at any replica, and the latest
// departed incarnation of each target, as far as they have changed. Registrations of a
// disconnected replica remain until another replica has a newer one, because
// the target itself may be healthy.
func (b *Builder) mergeRegistry(v *View) {
	if len(b.registry.changed) == 0 {
		return
	}
	v.RegistryChanges = b.registry.merge(func(id string) *saddlewire.Registration {
		var latest *saddlewire.Registration
		for _, s := range b.replicas {
			if reg, ok := s.registrations[id]; ok && (latest == nil || saddleregistry.Newer(reg, latest)) {
				latest = reg
			}
		}
		return latest
	})
	v.Registrations, v.Departed = maps.Clone(b.registry.used), maps.Clone(b.registry.departed)
	v.RegistryVersion++
}
