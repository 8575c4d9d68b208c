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

// State is the replicated state. It is used by one goroutine; the messages
// that it hands out must not be changed.
type State struct {
	revision    uint64 // log index of the last change of configuration
	now         int64  // latest time of a command, Unix nanoseconds
	swept       int64  // when expired claims were last removed; not replicated
	templates   map[string]*saddlewire.Template
	deployments map[string]*saddlewire.Deployment
	drains      map[string]*saddlewire.Drain
	placements  map[string]*saddlewire.Placement
	claims      map[claimKey]*saddlewire.Claim
	routing     *saddlewire.Routing // nil: none yet
	departures  map[string]*saddlewire.Departure
	changes     results // of commands that change the configuration
	settled     results // of commands on claims
	history     map[historyKey][]*saddlewire.PastRevision
}

// New returns an empty state.
func New() *State {
	return &State{
		templates:   map[string]*saddlewire.Template{},
		deployments: map[string]*saddlewire.Deployment{},
		drains:      map[string]*saddlewire.Drain{},
		placements:  map[string]*saddlewire.Placement{},
		claims:      map[claimKey]*saddlewire.Claim{},
		departures:  map[string]*saddlewire.Departure{},
		changes:     newResults(maxChanges),
		settled:     newResults(maxSettled),
		history:     map[historyKey][]*saddlewire.PastRevision{},
	}
}

// Revision returns the log index of the last change of configuration.
func (s *State) Revision() uint64 { return s.revision }

// Templates returns the templates by name.
func (s *State) Templates() []*saddlewire.Template { return sorted(s.templates) }

// Deployments returns the deployments by workspace.
func (s *State) Deployments() []*saddlewire.Deployment { return sorted(s.deployments) }

// Drains returns the drains by target.
func (s *State) Drains() []*saddlewire.Drain { return sorted(s.drains) }

// Encode returns the whole state as a snapshot's data.
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
	out.Results = append(s.changes.all(), s.settled.all()...)
	return proto.Marshal(out)
}

// Decode returns the state that a snapshot's data holds.
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
		s.keepPast(p)
	}
	for _, p := range in.GetResults() {
		s.window(len(p.GetDigest()) > 0).add(p)
	}
	return s, nil
}

// window returns the results kept for commands of a sort. Claims come with the
// traffic, so they must not push out what operators may still resend.
func (s *State) window(configuration bool) *results {
	if configuration {
		return &s.changes
	}
	return &s.settled
}

func sorted[V any](m map[string]V) []V {
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
