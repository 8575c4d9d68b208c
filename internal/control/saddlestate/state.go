package saddlestate

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// claimKey identifies a claim.
type claimKey struct {
	workspace string
	key       string
}

// State is the replicated state. It is not safe for concurrent use. Callers
// must not modify the messages that it returns.
type State struct {
	revision             uint64 // log index of the last configuration change
	now                  int64  // log time: the highest timestamp of all applied commands, Unix nanoseconds
	lastSweep            int64  // log time of the last removal of expired claims; not in snapshots, so replicas may differ
	templates            map[string]*saddlewire.Template
	deployments          map[string]*saddlewire.Deployment
	drains               map[string]*saddlewire.Drain
	placements           map[string]*saddlewire.Placement
	claims               map[claimKey]*saddlewire.Claim
	routing              *saddlewire.Routing // nil if none is stored yet
	departures           map[string]*saddlewire.Departure
	configurationResults resultWindow // results of commands that have a digest
	claimResults         resultWindow // results of all other commands
	history              map[historyKey][]*saddlewire.PastRevision
}

// New returns an empty state.
func New() *State {
	return &State{
		templates:            map[string]*saddlewire.Template{},
		deployments:          map[string]*saddlewire.Deployment{},
		drains:               map[string]*saddlewire.Drain{},
		placements:           map[string]*saddlewire.Placement{},
		claims:               map[claimKey]*saddlewire.Claim{},
		departures:           map[string]*saddlewire.Departure{},
		configurationResults: newResultWindow(maxConfigurationResults),
		claimResults:         newResultWindow(maxClaimResults),
		history:              map[historyKey][]*saddlewire.PastRevision{},
	}
}

// Revision returns the log index of the last configuration change.
func (s *State) Revision() uint64 { return s.revision }

// Templates returns the templates, sorted by name.
func (s *State) Templates() []*saddlewire.Template { return sortedByKey(s.templates) }

// Deployments returns the deployments, sorted by workspace.
func (s *State) Deployments() []*saddlewire.Deployment { return sortedByKey(s.deployments) }

// Drains returns the drains, sorted by target.
func (s *State) Drains() []*saddlewire.Drain { return sortedByKey(s.drains) }

// Encode serialises the state for a snapshot.
func (s *State) Encode() ([]byte, error) {
	out := &saddlewire.State{
		Revision:    s.revision,
		NowNs:       s.now,
		Templates:   s.Templates(),
		Deployments: s.Deployments(),
		Drains:      s.Drains(),
		Placements:  s.Placements(),
		History:     s.allHistory(),
		Routing:     s.routing,
		Departures:  s.DeparturesSince(0),
	}
	for _, c := range s.claims {
		out.Claims = append(out.Claims, c)
	}
	out.Results = append(s.configurationResults.all(), s.claimResults.all()...)
	return proto.Marshal(out)
}

// Decode restores a state from the data of a snapshot.
func Decode(data []byte) (*State, error) {
	in := &saddlewire.State{}
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, err
	}
	s := New()
	s.revision = in.GetRevision()
	s.now = in.GetNowNs()
	for _, t := range in.GetTemplates() {
		s.templates[t.GetName()] = t
	}
	for _, d := range in.GetDeployments() {
		s.deployments[d.GetWorkspace()] = d
	}
	for _, d := range in.GetDrains() {
		s.drains[d.GetTarget()] = d
	}
	for _, p := range in.GetPlacements() {
		s.placements[p.GetTarget()] = p
	}
	s.routing = in.GetRouting()
	for _, d := range in.GetDepartures() {
		s.departures[d.GetTarget()] = d
	}
	for _, c := range in.GetClaims() {
		s.claims[claimKey{workspace: c.GetWorkspace(), key: c.GetKey()}] = c
	}
	for _, p := range in.GetHistory() {
		s.appendHistory(p)
	}
	for _, p := range in.GetResults() {
		s.resultWindowFor(len(p.GetDigest()) > 0).add(p)
	}
	return s, nil
}

// resultWindowFor returns the result window for configuration changes or the one
// for all other commands. The windows are separate because commands on claims
// arrive at the rate of client requests and would evict the results of changes
// that operators may still resend.
func (s *State) resultWindowFor(hasDigest bool) *resultWindow {
	if hasDigest {
		return &s.configurationResults
	}
	return &s.claimResults
}

// sortedByKey returns the values of a map in the order of their keys.
func sortedByKey[V any](m map[string]V) []V {
	out := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[key])
	}
	return out
}

// DeploymentsAndDrainsSince returns the deployments and drains changed after a revision.
func (s *State) DeploymentsAndDrainsSince(revision uint64) ([]*saddlewire.Deployment, []*saddlewire.Drain) {
	var deployments []*saddlewire.Deployment
	for _, d := range s.deployments {
		if d.GetIndex() > revision {
			deployments = append(deployments, d)
		}
	}
	var drains []*saddlewire.Drain
	for _, d := range s.drains {
		if d.GetIndex() > revision {
			drains = append(drains, d)
		}
	}
	return deployments, drains
}
