package saddlefleet

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Fleet tracks the targets without agents and the load on them. It is safe for
// concurrent use.
type Fleet struct {
	node   string
	centre fireflysaddle.DataCentre
	log    zerolog.Logger

	mu              sync.Mutex
	targets         map[fireflysaddle.TargetID]*target
	leavers         map[fireflysaddle.TargetID]uint64 // incarnations that announced in an answer that they are leaving
	targetIndex                                       // targets that accept new requests
	unusual         map[*target]struct{}              // contains all targets that are not in order
	reported        []*target                         // targets that the latest view lists as slow, suspected or failing
	peerTokens      map[fireflysaddle.Section]float64 // tokens reserved by requests of the other entries
	reportedTokens  map[fireflysaddle.Section]float64 // tokens in the KV caches, as reported by the engines
	ownTokens       map[fireflysaddle.Section]float64 // tokens reserved by requests of this entry, times the fraction of the layers that run in the section
	entryCount      int                               // entries that share the engines, including this one
	peerEntryCounts map[fireflysaddle.DataCentre]int  // number of the other entries in each data centre
	rotation        int                               // offset at which Pick starts, to alternate between equal targets
	registryVersion uint64                            // of the view that targets were taken from
	membersVersion  uint64                            // of the view that the entries were taken from
	linkBudget      linkBudget
	probeRequests   chan struct{} // receives a value when an engine is to be probed immediately; capacity 1
	onDown          func(address string, ended bool)
}

// New returns a fleet without targets. onDown is called when an engine fails a
// probe for the first time since it last answered one. ended tells whether the probe shows
// that this start of the engine has ended; else it may merely be out of reach, and onDown is
// called once more if a later probe shows that the engine has ended.
func New(node string, centre fireflysaddle.DataCentre, log zerolog.Logger, onDown func(address string, ended bool)) *Fleet {
	return &Fleet{
		node: node, centre: centre, log: log, entryCount: 1, onDown: onDown, probeRequests: make(chan struct{}, 1),
		targets: map[fireflysaddle.TargetID]*target{}, targetIndex: newTargetIndex(), unusual: map[*target]struct{}{},
		ownTokens: map[fireflysaddle.Section]float64{}, leavers: map[fireflysaddle.TargetID]uint64{},
	}
}

// Update replaces the registrations and the reported loads with those of a view. Parts
// that have not changed since the previous view are not processed again, because views
// arrive several times a second.
func (f *Fleet) Update(now time.Time, v *saddleview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateTargets(now, v)
	if v.MembersVersion != f.membersVersion {
		f.countEntries(v)
	}
	f.registryVersion, f.membersVersion = v.RegistryVersion, v.MembersVersion
	f.updateReports(v)
	f.updateLimits(now, v.Limits)
	f.reportedTokens = tokensBySection(v.OccupiedTokens)
	f.peerTokens = tokensBySection(v.PeerDrafts)
}

func tokensBySection(tokens map[fireflysaddle.Section]uint64) map[fireflysaddle.Section]float64 {
	out := make(map[fireflysaddle.Section]float64, len(tokens))
	for section, n := range tokens {
		out[section] = float64(n)
	}
	return out
}

// updateTargets applies the registrations of a view that have changed: those that it names if
// it follows the view before, else all.
func (f *Fleet) updateTargets(now time.Time, v *saddleview.View) {
	switch v.RegistryVersion {
	case f.registryVersion:
	case f.registryVersion + 1:
		for _, id := range v.RegistryChanges {
			f.updateTarget(now, v, fireflysaddle.TargetID(id))
		}
	default:
		ids := map[fireflysaddle.TargetID]struct{}{}
		for id := range f.targets {
			ids[id] = struct{}{}
		}
		for id := range v.Registrations {
			ids[fireflysaddle.TargetID(id)] = struct{}{}
		}
		for _, id := range slices.Sorted(maps.Keys(ids)) { // the index grows at its end then
			f.updateTarget(now, v, id)
		}
	}
}

// updateTarget applies the registration of a target in a view, or that there is none.
func (f *Fleet) updateTarget(now time.Time, v *saddleview.View, id fireflysaddle.TargetID) {
	old := f.targets[id]
	if old != nil {
		f.remove(old)
	}
	reg, ok := v.Registrations[string(id)]
	if !ok {
		delete(f.targets, id)
		delete(f.unusual, old)
		return
	}
	t := f.targetFor(now, id, reg)
	if t != old {
		delete(f.unusual, old)
	}
	t.leaving = v.Leaving(reg)
	f.targets[id] = t
	if !f.announcedLeaving(t.Target) {
		delete(f.leavers, id) // another incarnation announced it
		if !t.leaving {
			f.add(t)
		}
	}
}

// updateReports replaces what control reports of single targets.
func (f *Fleet) updateReports(v *saddleview.View) {
	for _, t := range f.reported {
		t.stepTimeFactor, t.suspectedByPeer, t.failingForPeers = 1, false, 0
	}
	f.reported = f.reported[:0]
	report := func(id string, apply func(t *target)) {
		if t, ok := f.targets[fireflysaddle.TargetID(id)]; ok {
			apply(t)
			f.reported = append(f.reported, t)
			f.unusual[t] = struct{}{}
		}
	}
	for id, factor := range v.StepTimeFactors {
		report(id, func(t *target) { t.stepTimeFactor = max(1, factor) })
	}
	for id, entries := range v.Suspects {
		report(id, func(t *target) { t.suspectedByPeer = entries > 0 })
	}
	for id, entries := range v.Failing {
		report(id, func(t *target) { t.failingForPeers = int(entries) })
	}
}

// targetFor returns the target of a registration. Its health and load are retained
// unless it has restarted, which shows as a new incarnation.
func (f *Fleet) targetFor(now time.Time, id fireflysaddle.TargetID, reg *saddlewire.Registration) *target {
	t, ok := f.targets[id]
	if !ok || t.incarnation != reg.GetIncarnation() {
		t = &target{
			Target: Target{
				ID: id, Address: reg.GetAddress(), Centre: fireflysaddle.DataCentre(reg.GetCentre()),
				incarnation: reg.GetIncarnation(),
			},
			section:        fireflysaddle.SectionOf(reg),
			stepTimeFactor: 1,
		}
	}
	if !sameLayers(t.reg, reg) {
		t.layersChangedAt = now
	}
	t.reg = reg
	return t
}

// sameLayers reports whether two registrations have the same layers.
func sameLayers(a, b *saddlewire.Registration) bool {
	return slices.EqualFunc(a.GetLayers(), b.GetLayers(), func(x, y *saddlewire.HeldLayers) bool {
		return x.GetFrom() == y.GetFrom() && x.GetTo() == y.GetTo()
	})
}

// countEntries counts the entries of a view.
func (f *Fleet) countEntries(v *saddleview.View) {
	f.entryCount = 0
	f.peerEntryCounts = map[fireflysaddle.DataCentre]int{}
	for _, m := range v.Members {
		if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry {
			continue
		}
		f.entryCount++
		if m.GetNode() != f.node {
			f.peerEntryCounts[fireflysaddle.DataCentre(m.GetCentre())]++
		}
	}
	f.entryCount = max(1, f.entryCount)
}

// EntryCount returns the number of entries that share the targets, including this one.
func (f *Fleet) EntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entryCount
}

// SectionLoads returns the tokens that this entry's streaming requests reserve at the engines
// of each group in each data centre.
func (f *Fleet) SectionLoads() []*saddlewire.SectionLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*saddlewire.SectionLoad
	for _, section := range slices.SortedFunc(maps.Keys(f.ownTokens), fireflysaddle.Section.Compare) {
		if tokens := f.ownTokens[section]; tokens >= 1 {
			out = append(out, &saddlewire.SectionLoad{Group: string(section.Group), Centre: string(section.Centre), Tokens: uint64(tokens)})
		}
	}
	return out
}

// Pick selects a target of a group for a request. It skips the targets in tried, those that
// have asked for a pause and those whose limit is used up, and selects an unusable target only if there is no usable
// one. Among the usable targets it avoids those with recent faults and prefers those in
// this entry's data centre, then those with the fewest requests of this entry in flight.
// done must be called when the request has ended.
func (f *Fleet) Pick(now time.Time, group fireflysaddle.Group, tried []fireflysaddle.TargetID) (chosen Target, done func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *target
	f.rotation++
	list := f.groups[group]
	for i := range list {
		t := list[(i+f.rotation)%len(list)]
		if slices.Contains(tried, t.ID) || !f.accepts(now, t) {
			continue
		}
		if best == nil || f.preferred(now, t, best) {
			best = t
		}
	}
	if best == nil {
		return Target{}, nil, false
	}
	if best.excluded {
		best.nextProbe = now.Add(minProbeInterval) // this request serves as the probe
	}
	best.inFlight++
	best.pause.recordSend(now)
	f.recordBegin(now, best)
	return best.Target, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		best.inFlight--
	}), true
}

// accepts reports whether a request may be sent to a target, as far as the target itself has
// asked for pauses and stated limits.
func (f *Fleet) accepts(now time.Time, t *target) bool {
	return t.pause.accepts(now) && t.limit.accepts(now, f.entryCount)
}

// preferred reports whether a is a better choice than b.
func (f *Fleet) preferred(now time.Time, a, b *target) bool {
	if a.usable(now) != b.usable(now) {
		return a.usable(now)
	}
	if faulty := a.faults.at(now) >= deprioritiseFaults; faulty != (b.faults.at(now) >= deprioritiseFaults) {
		return !faulty
	}
	// A remote target is preferred only if the local one has more than localPreference
	// additional requests in flight.
	aLocal, bLocal := a.Centre == f.centre, b.Centre == f.centre
	switch {
	case aLocal && !bLocal:
		return a.inFlight <= b.inFlight+localPreference
	case bLocal && !aLocal:
		return b.inFlight > a.inFlight+localPreference
	}
	return a.inFlight < b.inFlight
}

// deprioritiseFaults is the fault count from which other targets are preferred: a single
// fault counts for two half-lives. A target that loses some of its answers mostly works, but
// each lost answer uses up one of the request's attempts.
const deprioritiseFaults = 0.25

// localPreference is the number of additional requests in flight up to which a
// target of this data centre is preferred to a remote one. A remote request costs
// traffic between data centres, and a target runs this many requests concurrently.
const localPreference = 4
