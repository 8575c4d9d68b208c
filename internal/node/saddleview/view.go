package saddleview

import (
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// View is what a node knows at a moment. It must not be changed.
type View struct {
	Revision             uint64 // highest configuration revision known
	Confirmed            bool   // a majority confirmed it a short while ago
	Ready                bool   // a configuration was confirmed, or none could be in time and one is known
	Deployments          map[string]*saddlewire.Deployment
	DeploymentsByKeyHash map[string]*saddlewire.Deployment // by hex SHA-256 of the key
	Drains               map[string]*saddlewire.Drain
	Placements           map[string]*saddlewire.Placement // by target
	Members              map[string]*saddlewire.Member    // by node
	Groups               map[string][]*saddlewire.Member
	Connected            int  // replicas heard
	MayLoad              bool // agents: the leader lets the engine begin a load

	Routing        uint64   // highest version of the routing configuration known
	RoutingSources []string // replicas that hold it
	// ConfirmedNs is the node's own time, in nanoseconds, from which on it knows
	// all that a majority had accepted by then.
	ConfirmedNs     int64
	Registrations   map[string]*saddlewire.Registration // targets without an agent, by id
	StepTimeFactors map[string]float64                  // of slow engines, by target
	OccupiedTokens  map[string]uint64                   // tokens that engines hold, by data centre
	EntryLoads      []*saddlewire.EntryLoad             // what the entries' drafts take
	Departed        map[string]uint64                   // latest incarnation that takes no new work, by target
}

// Leaving reports whether a target without an agent takes no new work any more.
func (v *View) Leaving(reg *saddlewire.Registration) bool {
	gone, ok := v.Departed[reg.GetId()]
	return reg.GetLeaving() || (ok && gone >= reg.GetIncarnation())
}

// Drained reports whether an operator ordered a target to take no new work.
func (v *View) Drained(target string) bool {
	return v.Drains[target].GetActive()
}
