package saddleview

import (
	"slices"
	"strings"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Builder gathers the updates of each replica. It is used by one goroutine.
//
// The configuration is that of the replica with the highest revision, so it
// never goes back when a replica that is behind is heard. Members are those
// that any connected replica knows; with none connected the last set stays, so
// that a node goes on serving without control.
//
// A view shares with the one before what no update has changed since: most
// updates change nothing, and there may be thousands of members.
type Builder struct {
	sources map[string]*source
	last    *View

	settled            bool
	staleConfiguration bool // changed since last was built
	staleMembers       bool
	staleRegistry      bool

	loads []*saddlewire.EntryLoad // as the replica heard last has them
	paces map[string]float64      // as the leader heard last has them

	occupied map[string]uint64 // as the leader heard last has it
}

// source is what one replica said.
type source struct {
	connected   bool
	confirmed   bool
	mayLoad     bool
	revision    uint64
	deployments map[string]*saddlewire.Deployment
	drains      map[string]*saddlewire.Drain
	placements  map[string]*saddlewire.Placement
	members     map[string]*saddlewire.Member

	routing       uint64
	confirmedNs   int64
	registrations map[string]*saddlewire.Registration
	departed      map[string]uint64
}

func newSource() *source {
	return &source{
		deployments: map[string]*saddlewire.Deployment{},
		drains:      map[string]*saddlewire.Drain{},
		placements:  map[string]*saddlewire.Placement{},
		members:     map[string]*saddlewire.Member{},

		registrations: map[string]*saddlewire.Registration{},
		departed:      map[string]uint64{},
	}
}

// NewBuilder returns a builder that has heard nothing.
func NewBuilder() *Builder {
	return &Builder{sources: map[string]*source{}, last: &View{}, staleConfiguration: true, staleMembers: true}
}

// Update takes in what a replica sent. An update below the revision that the
// replica sent before replaces only its members.
func (b *Builder) Update(replica string, u *saddlewire.Update) {
	s, ok := b.sources[replica]
	if !ok {
		s = newSource()
		b.sources[replica] = s
	}
	b.note(s, u)
	s.connected = true
	s.confirmed = u.GetConfirmed()
	s.mayLoad = u.GetMayLoad()
	if u.GetSnapshot() {
		s.members = map[string]*saddlewire.Member{}
	}
	s.applyConfiguration(u)
	for _, m := range u.GetMembers() {
		s.members[m.GetNode()] = m
	}
	for _, node := range u.GetGone() {
		delete(s.members, node)
	}
	b.updateRegistry(s, u)
	if len(u.GetLoads()) > 0 {
		b.loads = u.GetLoads()
	}
	if u.GetLeads() {
		b.paces = make(map[string]float64, len(u.GetPaces()))
		for _, p := range u.GetPaces() {
			b.paces[p.GetTarget()] = p.GetFactor()
		}
		b.occupied = make(map[string]uint64, len(u.GetOccupied()))
		for _, o := range u.GetOccupied() {
			b.occupied[o.GetCentre()] = o.GetTokens()
		}
	}
}

// note marks what an update may change.
func (b *Builder) note(s *source, u *saddlewire.Update) {
	anew := u.GetSnapshot() || !s.connected
	if anew || u.GetRevision() != s.revision || len(u.GetDeployments())+len(u.GetDrains())+len(u.GetPlacements()) > 0 {
		b.staleConfiguration = true
	}
	if anew || len(u.GetMembers())+len(u.GetGone()) > 0 {
		b.staleMembers = true
	}
}

func (s *source) applyConfiguration(u *saddlewire.Update) {
	if u.GetRevision() < s.revision {
		return
	}
	if u.GetSnapshot() {
		s.deployments = map[string]*saddlewire.Deployment{}
		s.drains = map[string]*saddlewire.Drain{}
		s.placements = map[string]*saddlewire.Placement{}
	}
	s.revision = u.GetRevision()
	for _, d := range u.GetDeployments() {
		s.deployments[d.GetWorkspace()] = d
	}
	for _, d := range u.GetDrains() {
		s.drains[d.GetTarget()] = d
	}
	for _, p := range u.GetPlacements() {
		s.placements[p.GetTarget()] = p
	}
}

// Settle notes that the node has waited for a confirmed configuration for long
// enough: from now on it serves by the highest revision it knows of.
func (b *Builder) Settle() { b.settled = true }

// Lost notes that a replica is no longer heard.
func (b *Builder) Lost(replica string) {
	if s, ok := b.sources[replica]; ok {
		b.staleMembers = b.staleMembers || s.connected
		b.staleRegistry = b.staleRegistry || s.connected
		s.connected = false
		s.confirmed = false
	}
}

// Build returns the merged view.
func (b *Builder) Build() *View {
	next := *b.last
	v := &next
	if b.staleConfiguration {
		b.mergeConfiguration(v)
	}
	b.countSources(v)
	v.Ready = v.Ready || v.Confirmed || (b.settled && v.Revision > 0)
	if b.staleMembers && v.Connected > 0 {
		v.Members = b.mergedMembers()
		v.Groups = groups(v.Members)
	}
	if b.staleRegistry {
		v.Registrations, v.Departed = b.mergedRegistry()
	}
	b.noteRouting(v)
	v.EntryLoads = b.loads
	v.StepTimeFactors = b.paces
	v.OccupiedTokens = b.occupied
	b.staleRegistry = false
	b.staleConfiguration = false
	b.staleMembers = false
	b.last = v
	return v
}

func (b *Builder) mergeConfiguration(v *View) {
	best := b.best()
	if best == nil {
		return
	}
	v.Revision = best.revision
	v.Deployments = cloneMap(best.deployments)
	v.Drains = cloneMap(best.drains)
	v.Placements = cloneMap(best.placements)
	v.DeploymentsByKeyHash = keys(v.Deployments)
}

// countSources notes how many replicas are heard and whether one of them
// confirms the view's revision.
func (b *Builder) countSources(v *View) {
	v.Connected = 0
	v.Confirmed = false
	v.MayLoad = false
	for _, s := range b.sources {
		if !s.connected {
			continue
		}
		v.Connected++
		v.MayLoad = v.MayLoad || s.mayLoad
		v.Confirmed = v.Confirmed || (s.confirmed && s.revision == v.Revision)
	}
}

func (b *Builder) best() *source {
	var best *source
	for _, s := range b.sources {
		if best == nil || s.revision > best.revision {
			best = s
		}
	}
	return best
}

// mergedMembers returns the latest incarnation of each member that a connected
// replica knows.
func (b *Builder) mergedMembers() map[string]*saddlewire.Member {
	out := map[string]*saddlewire.Member{}
	for _, s := range b.sources {
		if !s.connected {
			continue
		}
		for node, m := range s.members {
			if m.GetIncarnation() >= out[node].GetIncarnation() {
				out[node] = m
			}
		}
	}
	return out
}

func keys(deployments map[string]*saddlewire.Deployment) map[string]*saddlewire.Deployment {
	out := make(map[string]*saddlewire.Deployment, len(deployments))
	for _, d := range deployments {
		for _, h := range d.GetKeyHashes() {
			out[h] = d
		}
	}
	return out
}

func groups(members map[string]*saddlewire.Member) map[string][]*saddlewire.Member {
	out := map[string][]*saddlewire.Member{}
	for _, m := range members {
		if t := m.GetTarget(); t != nil {
			out[t.GetGroup()] = append(out[t.GetGroup()], m)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b *saddlewire.Member) int {
			return strings.Compare(a.GetNode(), b.GetNode())
		})
	}
	return out
}

func cloneMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}
