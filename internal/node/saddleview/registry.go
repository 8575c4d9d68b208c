package saddleview

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// updateRegistry applies the registrations and departures of targets without an
// agent, the version of the routing configuration that the replica holds, and the
// time of the heartbeat that a confirmed update answers.
func (b *Builder) updateRegistry(s *replicaState, u *saddlewire.Update) {
	if u.GetSnapshot() {
		clear(s.registrations)
	}
	if u.GetSnapshot() || len(u.GetRegistrations())+len(u.GetUnregistered())+len(u.GetDepartures()) > 0 {
		b.registryStale = true
	}
	for _, reg := range u.GetRegistrations() {
		s.registrations[reg.GetId()] = reg
	}
	for _, id := range u.GetUnregistered() {
		delete(s.registrations, id)
	}
	for _, d := range u.GetDepartures() {
		s.departedIncarnations[d.GetTarget()] = max(s.departedIncarnations[d.GetTarget()], d.GetIncarnation())
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

// mergeRegistry returns the latest registration of each target at any replica,
// and the latest departed incarnation of each target. Registrations of a
// disconnected replica remain until another replica has a newer one, because
// the target itself may be healthy. Of several targets at one address, only the
// one with the highest incarnation remains.
func (b *Builder) mergeRegistry() (map[string]*saddlewire.Registration, map[string]uint64) {
	registrations := map[string]*saddlewire.Registration{}
	departed := map[string]uint64{}
	for _, s := range b.replicas {
		for id, reg := range s.registrations {
			if old, ok := registrations[id]; !ok || saddleregistry.Newer(reg, old) {
				registrations[id] = reg
			}
		}
		for id, incarnation := range s.departedIncarnations {
			departed[id] = max(departed[id], incarnation)
		}
	}
	latest := map[string]*saddlewire.Registration{}
	for _, reg := range registrations {
		if old, ok := latest[reg.GetAddress()]; !ok || reg.GetIncarnation() > old.GetIncarnation() {
			latest[reg.GetAddress()] = reg
		}
	}
	for id, reg := range registrations {
		if latest[reg.GetAddress()] != reg {
			delete(registrations, id)
		}
	}
	return registrations, departed
}
