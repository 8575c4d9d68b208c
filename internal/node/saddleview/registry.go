package saddleview

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// updateRegistry takes in what a replica says of targets without an agent, and
// which routing configuration it holds.
func (b *Builder) updateRegistry(s *source, u *saddlewire.Update) {
	if u.GetSnapshot() {
		clear(s.registrations)
	}
	if u.GetSnapshot() || len(u.GetRegistrations())+len(u.GetUnregistered())+len(u.GetDepartures()) > 0 {
		b.staleRegistry = true
	}
	for _, reg := range u.GetRegistrations() {
		s.registrations[reg.GetId()] = reg
	}
	for _, id := range u.GetUnregistered() {
		delete(s.registrations, id)
	}
	for _, d := range u.GetDepartures() {
		s.departed[d.GetTarget()] = max(s.departed[d.GetTarget()], d.GetIncarnation())
	}
	s.routing = max(s.routing, u.GetRouting())
	if u.GetConfirmed() {
		s.confirmedNs = max(s.confirmedNs, u.GetEchoNs())
	}
}

// noteRouting notes the newest routing configuration, who holds it, and how long
// ago the node knew all that was accepted.
func (b *Builder) noteRouting(v *View) {
	for _, s := range b.sources {
		v.Routing = max(v.Routing, s.routing)
		v.ConfirmedNs = max(v.ConfirmedNs, s.confirmedNs)
	}
	var holders []string
	for address, s := range b.sources {
		if s.connected && s.routing == v.Routing {
			holders = append(holders, address)
		}
	}
	slices.Sort(holders)
	v.RoutingSources = holders
}

// mergedRegistry returns what each target said last, to whichever replica. What
// was said to a replica that is no longer heard stays until another one knows
// better, because the target may be well. A later start at the same address goes
// before an earlier one.
func (b *Builder) mergedRegistry() (map[string]*saddlewire.Registration, map[string]uint64) {
	registrations := map[string]*saddlewire.Registration{}
	departed := map[string]uint64{}
	for _, s := range b.sources {
		for id, reg := range s.registrations {
			if old, ok := registrations[id]; !ok || saddleregistry.Newer(reg, old) {
				registrations[id] = reg
			}
		}
		for id, incarnation := range s.departed {
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
