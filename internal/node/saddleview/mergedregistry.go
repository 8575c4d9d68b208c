package saddleview

import (
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// mergedRegistry is the merged state of the registrations that the replicas have sent. Only
// targets that have changed are merged again, because there may be thousands.
type mergedRegistry struct {
	latest    map[string]*saddlewire.Registration            // by target
	byAddress map[string]map[string]*saddlewire.Registration // those in latest, by address and target
	used      map[string]*saddlewire.Registration            // those in latest that the view has, by target
	departed  map[string]uint64                              // latest departed incarnation, by target
	changed   map[string]struct{}                            // targets to be merged again
}

func newMergedRegistry() mergedRegistry {
	return mergedRegistry{
		latest:    map[string]*saddlewire.Registration{},
		byAddress: map[string]map[string]*saddlewire.Registration{},
		used:      map[string]*saddlewire.Registration{},
		departed:  map[string]uint64{},
		changed:   map[string]struct{}{},
	}
}

// markChanged records that a replica has changed what it says of a target.
func (m *mergedRegistry) markChanged(id string) { m.changed[id] = struct{}{} }

// depart records a departed incarnation.
func (m *mergedRegistry) depart(id string, incarnation uint64) {
	if incarnation <= m.departed[id] {
		return
	}
	m.departed[id] = incarnation
	m.markChanged(id)
}

// merge merges the targets that have changed and returns those whose state in the view may
// have changed, sorted. latest returns the latest registration of a target, or nil.
func (m *mergedRegistry) merge(latest func(id string) *saddlewire.Registration) []string {
	addresses := map[string]struct{}{}
	for id := range m.changed {
		if old := m.latest[id]; old != nil {
			addresses[old.GetAddress()] = struct{}{}
			delete(m.byAddress[old.GetAddress()], id)
		}
		delete(m.latest, id)
		delete(m.used, id)
		if reg := latest(id); reg != nil {
			addresses[reg.GetAddress()] = struct{}{}
			if m.byAddress[reg.GetAddress()] == nil {
				m.byAddress[reg.GetAddress()] = map[string]*saddlewire.Registration{}
			}
			m.latest[id], m.byAddress[reg.GetAddress()][id] = reg, reg
		}
	}
	for address := range addresses {
		m.mergeAddress(address)
	}
	out := slices.Sorted(maps.Keys(m.changed))
	clear(m.changed)
	return out
}

// mergeAddress decides which of the targets at an address the view has: the one with the
// highest incarnation, because an address serves one target at a time.
func (m *mergedRegistry) mergeAddress(address string) {
	var newest *saddlewire.Registration
	for id, reg := range m.byAddress[address] {
		if newest == nil || reg.GetIncarnation() > newest.GetIncarnation() ||
			(reg.GetIncarnation() == newest.GetIncarnation() && id < newest.GetId()) {
			newest = reg
		}
	}
	for id, reg := range m.byAddress[address] {
		_, used := m.used[id]
		if used != (reg == newest) {
			m.markChanged(id)
		}
		delete(m.used, id)
	}
	if newest == nil {
		delete(m.byAddress, address)
		return
	}
	m.used[newest.GetId()] = newest
}
