package saddleview

import (
	"slices"
	"strings"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Builder collects the updates of the control replicas and merges them into a
// View. It must be used by one goroutine.
//
// The configuration is that of the replica with the highest revision, so the
// revision never decreases when a lagging replica sends an update. The members are
// all those that a connected replica knows. While no replica is connected, the
// members of the previous view remain, so that a node continues to serve without
// control replicas.
//
// A view shares unchanged maps with its predecessor, because most updates change
// nothing and there may be thousands of members.
type Builder struct {
	replicas map[string]*replicaState
	lastView *View

	allowUnconfirmed bool // the node no longer waits for a confirmed configuration

	// Each of these is set when an update or a disconnection after lastView may have
	// changed that part of the view. Build merges such a part again.
	configurationStale bool
	membersStale       bool

	registry mergedRegistry

	peerDrafts      map[fireflysaddle.Section]uint64 // tokens of the other entries' drafts in the latest update with reports
	suspects        map[string]uint32                // number of other entries that suspect a target, in the same update
	failing         map[string]uint32                // number of other entries of the data centre that list an engine as failing, in the same update
	limits          []*saddlewire.LimitShare
	blamed          []string // parts that any entry blames, in the same update
	quarantines     []*saddlewire.Quarantine
	stepTimeFactors map[string]float64               // factors that the leader sent last, by target
	occupiedTokens  map[fireflysaddle.Section]uint64 // tokens that the leader sent last
}

// replicaState is the state that one replica has sent.
type replicaState struct {
	connected   bool
	confirmed   bool // the latest update states that a majority confirmed the state
	mayLoad     bool // this replica allows the engine of this node to load weights
	revision    uint64
	deployments map[string]*saddlewire.Deployment
	drains      map[string]*saddlewire.Drain
	placements  map[string]*saddlewire.Placement
	members     map[string]*saddlewire.Member

	routingVersion uint64 // version of the routing configuration that the replica holds
	confirmedNs    int64  // send time of the latest heartbeat that was answered by a confirmed update
	registrations  map[string]*saddlewire.Registration
}

func newReplicaState() *replicaState {
	return &replicaState{
		deployments: map[string]*saddlewire.Deployment{},
		drains:      map[string]*saddlewire.Drain{},
		placements:  map[string]*saddlewire.Placement{},
		members:     map[string]*saddlewire.Member{},

		registrations: map[string]*saddlewire.Registration{},
	}
}

// NewBuilder returns a builder without any replica state.
func NewBuilder() *Builder {
	return &Builder{replicas: map[string]*replicaState{}, lastView: &View{}, configurationStale: true, membersStale: true, registry: newMergedRegistry()}
}

// Update applies an update of a replica. An update with a lower revision than an
// earlier update of the same replica does not change the configuration.
func (b *Builder) Update(replica string, u *saddlewire.Update) {
	s, ok := b.replicas[replica]
	if !ok {
		s = newReplicaState()
		b.replicas[replica] = s
	}
	b.markStale(s, u)
	s.connected = true
	s.confirmed = u.GetConfirmed() && u.GetRevision() >= s.revision // a confirmed lower revision says nothing about the one that is kept
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
	b.updateLoad(u)
}

// updateLoad applies the reports of the other entries and the state of the engines. The
// leader sends the reports with each update, and the state of the engines when it has
// changed.
func (b *Builder) updateLoad(u *saddlewire.Update) {
	if u.GetLeads() || len(u.GetPeerDrafts())+len(u.GetSuspects())+len(u.GetFailing()) > 0 {
		b.peerDrafts = tokensBySection(u.GetPeerDrafts())
		b.suspects = countsByTarget(u.GetSuspects())
		b.failing = countsByTarget(u.GetFailing())
	}
	if u.GetLeads() || len(u.GetLimits()) > 0 {
		b.limits = u.GetLimits()
	}
	if u.GetLeads() || len(u.GetBlamed())+len(u.GetQuarantines()) > 0 {
		b.blamed, b.quarantines = u.GetBlamed(), u.GetQuarantines()
	}
	if !u.GetLeads() || u.GetEnginesUnchanged() {
		return
	}
	b.stepTimeFactors = make(map[string]float64, len(u.GetPaces()))
	for _, p := range u.GetPaces() {
		b.stepTimeFactors[p.GetTarget()] = p.GetFactor()
	}
	b.occupiedTokens = tokensBySection(u.GetOccupied())
}

func countsByTarget(counts []*saddlewire.TargetCount) map[string]uint32 {
	out := make(map[string]uint32, len(counts))
	for _, c := range counts {
		out[c.GetTarget()] = c.GetEntries()
	}
	return out
}

func tokensBySection(loads []*saddlewire.SectionLoad) map[fireflysaddle.Section]uint64 {
	out := make(map[fireflysaddle.Section]uint64, len(loads))
	for _, l := range loads {
		out[fireflysaddle.SectionOf(l)] += l.GetTokens()
	}
	return out
}

// markStale marks the parts of the view that an update may change.
func (b *Builder) markStale(s *replicaState, u *saddlewire.Update) {
	resync := u.GetSnapshot() || !s.connected
	if resync || u.GetRevision() != s.revision || len(u.GetDeployments())+len(u.GetDrains())+len(u.GetPlacements()) > 0 {
		b.configurationStale = true
	}
	if resync || len(u.GetMembers())+len(u.GetGone()) > 0 {
		b.membersStale = true
	}
}

func (s *replicaState) applyConfiguration(u *saddlewire.Update) {
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

// AllowUnconfirmed ends the wait for a confirmed configuration: from now on the
// highest known revision is enough for the node to be ready.
func (b *Builder) AllowUnconfirmed() { b.allowUnconfirmed = true }

// MarkDisconnected records that the connection to a replica is lost.
func (b *Builder) MarkDisconnected(replica string) {
	if s, ok := b.replicas[replica]; ok {
		b.membersStale = b.membersStale || s.connected
		s.connected = false
		s.confirmed = false
	}
}

// Build returns the merged view.
func (b *Builder) Build() *View {
	next := *b.lastView
	v := &next
	if b.configurationStale {
		b.mergeConfiguration(v)
	}
	b.mergeStatus(v)
	v.Ready = v.Ready || v.Confirmed || (b.allowUnconfirmed && v.Revision > 0)
	if b.membersStale && v.Connected > 0 {
		v.Members = b.mergeMembers()
		v.MembersVersion++
		v.Groups = membersByGroup(v.Members)
	}
	b.mergeRegistry(v)
	b.mergeRouting(v)
	v.PeerDrafts, v.Suspects, v.Failing = b.peerDrafts, b.suspects, b.failing
	v.Limits = b.limits
	v.Blamed, v.Quarantines = b.blamed, b.quarantines
	v.StepTimeFactors = b.stepTimeFactors
	v.OccupiedTokens = b.occupiedTokens
	b.configurationStale = false
	b.membersStale = false
	b.lastView = v
	return v
}

func (b *Builder) mergeConfiguration(v *View) {
	newest := b.newestReplica()
	if newest == nil {
		return
	}
	v.Revision = newest.revision
	v.Deployments = cloneMap(newest.deployments)
	v.Drains = cloneMap(newest.drains)
	v.Placements = cloneMap(newest.placements)
	v.DeploymentsByKeyHash = deploymentsByKeyHash(v.Deployments)
}

// mergeStatus sets how many replicas are connected, whether one of them
// confirms the view's revision, and whether the engine may load weights.
func (b *Builder) mergeStatus(v *View) {
	v.Connected = 0
	v.Confirmed = false
	v.MayLoad = false
	for _, s := range b.replicas {
		if !s.connected {
			continue
		}
		v.Connected++
		v.MayLoad = v.MayLoad || s.mayLoad
		v.Confirmed = v.Confirmed || (s.confirmed && s.revision == v.Revision)
	}
}

// newestReplica returns the state with the highest revision, which may be that of a
// disconnected replica, or nil if no replica has sent an update.
func (b *Builder) newestReplica() *replicaState {
	var newest *replicaState
	for _, s := range b.replicas {
		if newest == nil || s.revision > newest.revision {
			newest = s
		}
	}
	return newest
}

// mergeMembers returns the latest incarnation of each member that a connected
// replica knows.
func (b *Builder) mergeMembers() map[string]*saddlewire.Member {
	out := map[string]*saddlewire.Member{}
	for _, s := range b.replicas {
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

func deploymentsByKeyHash(deployments map[string]*saddlewire.Deployment) map[string]*saddlewire.Deployment {
	out := make(map[string]*saddlewire.Deployment, len(deployments))
	for _, d := range deployments {
		for _, h := range d.GetKeyHashes() {
			out[h] = d
		}
	}
	return out
}

func membersByGroup(members map[string]*saddlewire.Member) map[string][]*saddlewire.Member {
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
