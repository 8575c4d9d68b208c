package saddleview

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// View is the state of the cluster as known to a node at one moment. It is immutable.
type View struct {
	Revision             uint64                            // highest configuration revision known
	Confirmed            bool                              // a majority confirmed Revision recently
	Ready                bool                              // a revision has been confirmed, or a revision is known and the node no longer waits for a confirmation
	Deployments          map[string]*saddlewire.Deployment // by workspace
	DeploymentsByKeyHash map[string]*saddlewire.Deployment // by hex SHA-256 of the API key
	Drains               map[string]*saddlewire.Drain      // by target
	Placements           map[string]*saddlewire.Placement  // by target
	Members              map[string]*saddlewire.Member     // by node
	Groups               map[string][]*saddlewire.Member   // members with a target, by its group
	MembersVersion       uint64                            // changes whenever Members is merged again
	Connected            int                               // number of connected replicas
	MayLoad              bool                              // agents: the leader allows the engine to load weights

	RoutingVersion uint64   // highest version of the routing configuration known
	RoutingSources []string // addresses of the connected replicas that hold it
	// ConfirmedNs is a time of the node's own clock (see Subscriber.Now) in
	// nanoseconds: the view includes everything that a majority had accepted by then.
	ConfirmedNs     int64
	Registrations   map[string]*saddlewire.Registration // targets without an agent, by id
	StepTimeFactors map[string]float64                  // factors of slow engines, by target; above 1: slower
	OccupiedTokens  map[fireflysaddle.Section]uint64    // tokens in the engines' KV caches
	PeerDrafts      map[fireflysaddle.Section]uint64    // tokens that the drafts of the other entries reserve
	Suspects        map[string]uint32                   // number of other entries that suspect a target, by target
	Failing         map[string]uint32                   // number of other entries of this data centre that list an engine as failing, by target
	Limits          []*saddlewire.LimitShare            // limits that targets stated to any entry, with this entry's shares
	Blamed          []string                            // traits of requests that any entry blames for the end of targets
	Quarantines     []*saddlewire.Quarantine            // traits with which requests are refused
	Departed        map[string]uint64                   // latest incarnation that accepts no new work, by target
	RegistryVersion uint64                              // grows by one whenever Registrations or Departed change
	RegistryChanges []string                            // targets that the latest change of RegistryVersion may have changed, sorted
}

// Leaving reports whether a target without an agent accepts no new work.
func (v *View) Leaving(reg *saddlewire.Registration) bool {
	departed, ok := v.Departed[reg.GetId()]
	return reg.GetLeaving() || (ok && departed >= reg.GetIncarnation())
}

// Drained reports whether an operator has drained a target.
func (v *View) Drained(target string) bool {
	return v.Drains[target].GetActive()
}
