package saddlefleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Fleet is safe for concurrent use.
type Fleet struct {
	node   string
	centre fireflysaddle.DataCentre
	log    zerolog.Logger

	mu      sync.Mutex
	targets map[fireflysaddle.TargetID]*target
	groups  map[fireflysaddle.Group][]*target    // that take new work, by id
	address map[string]*target                   // that take new work
	others  map[fireflysaddle.DataCentre]float64 // tokens of the other entries' drafts
	said    map[fireflysaddle.DataCentre]float64 // tokens that the engines say they hold
	mine    map[fireflysaddle.DataCentre]float64
	entries int                              // entries that share the engines, this one among them
	sharers map[fireflysaddle.DataCentre]int // the other entries, by data centre
	turn    int
	line    line
	doubts  chan struct{} // of capacity 1
	onDown  func(address string)
}

// New returns a fleet without targets. onDown is called when an engine is found
// not to tell its state.
func New(node string, centre fireflysaddle.DataCentre, log zerolog.Logger, onDown func(address string)) *Fleet {
	return &Fleet{
		node: node, centre: centre, log: log, entries: 1, onDown: onDown, doubts: make(chan struct{}, 1),
		mine: map[fireflysaddle.DataCentre]float64{},
	}
}

// Update takes up the targets of a view.
func (f *Fleet) Update(v *saddleview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make(map[fireflysaddle.TargetID]*target, len(v.Registrations))
	groups := map[fireflysaddle.Group][]*target{}
	address := make(map[string]*target, len(v.Registrations))
	for id, reg := range v.Registrations {
		t := f.keep(fireflysaddle.TargetID(id), reg)
		t.pace = max(1, v.Paces[id])
		targets[t.ID] = t
		if v.Leaving(reg) {
			continue
		}
		address[t.Address] = t
		group := fireflysaddle.Group(reg.GetGroup())
		groups[group] = append(groups[group], t)
	}
	for _, list := range groups {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	f.targets, f.groups, f.address = targets, groups, address
	f.takeEntries(v)
}

// keep returns the target of a registration, with what is known of it if it has
// not started anew.
func (f *Fleet) keep(id fireflysaddle.TargetID, reg *saddlewire.Registration) *target {
	t, ok := f.targets[id]
	if !ok || t.incarnation != reg.GetIncarnation() {
		t = &target{
			Target:      Target{ID: id, Address: reg.GetAddress(), Centre: fireflysaddle.DataCentre(reg.GetCentre())},
			incarnation: reg.GetIncarnation(),
		}
	}
	t.reg = reg
	return t
}

// takeEntries takes up what the other entries have at the engines, and which
// targets they pass over.
func (f *Fleet) takeEntries(v *saddleview.View) {
	f.entries = 0
	f.sharers = map[fireflysaddle.DataCentre]int{}
	hinted := map[string]bool{}
	for _, m := range v.Members {
		if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry {
			continue
		}
		f.entries++
		if m.GetNode() == f.node {
			continue
		}
		f.sharers[fireflysaddle.DataCentre(m.GetCentre())]++
		for _, id := range m.GetSuspects() {
			hinted[id] = true
		}
	}
	f.entries = max(1, f.entries)
	for id, t := range f.targets {
		t.hinted = hinted[string(id)]
	}
	f.said = map[fireflysaddle.DataCentre]float64{}
	for centre, tokens := range v.Occupied {
		f.said[fireflysaddle.DataCentre(centre)] = float64(tokens)
	}
	f.others = map[fireflysaddle.DataCentre]float64{}
	for _, load := range v.Loads {
		if load.GetNode() == f.node {
			continue
		}
		for _, d := range load.GetDrafts() {
			f.others[fireflysaddle.DataCentre(d.GetCentre())] += float64(d.GetTokens())
		}
	}
}

// EntryCount returns how many entries share the targets.
func (f *Fleet) EntryCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
}

// CentreLoads returns what this entry's drafts take in each data centre.
func (f *Fleet) CentreLoads() []*saddlewire.CentreLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*saddlewire.CentreLoad
	for centre, tokens := range f.mine {
		if tokens >= 1 {
			out = append(out, &saddlewire.CentreLoad{Centre: string(centre), Tokens: uint64(tokens)})
		}
	}
	slices.SortFunc(out, func(a, b *saddlewire.CentreLoad) int { return cmp.Compare(a.GetCentre(), b.GetCentre()) })
	return out
}

// Pick chooses a target of a group for a request: of those that do not seem to
// fail the one with the fewest requests of this entry, in its own data centre if
// there is one. done must be called when the request has ended.
func (f *Fleet) Pick(now time.Time, group fireflysaddle.Group, tried []fireflysaddle.TargetID) (chosen Target, done func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *target
	f.turn++
	list := f.groups[group]
	for i := range list {
		t := list[(i+f.turn)%len(list)]
		if slices.Contains(tried, t.ID) {
			continue
		}
		if best == nil || f.before(now, t, best) {
			best = t
		}
	}
	if best == nil {
		return Target{}, nil, false
	}
	if best.passedOver {
		best.lookAt = now.Add(lookFirst) // this request is the probe
	}
	best.running++
	return best.Target, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		best.running--
	}), true
}

// before reports whether a target is to be chosen before another one.
func (f *Fleet) before(now time.Time, a, b *target) bool {
	if a.usable(now) != b.usable(now) {
		return a.usable(now)
	}
	if failed := a.recentFaults(now) >= faultsPrefer; failed != (b.recentFaults(now) >= faultsPrefer) {
		return !failed
	}
	if near := a.Centre == f.centre; near != (b.Centre == f.centre) {
		// The other data centres take over when the near one is loaded.
		return near == (a.running <= b.running+nearPreference)
	}
	return a.running < b.running
}

// faultsPrefer is the number of recent failures from which other targets go
// before: one that loses some of its answers works for the most part, and spends
// the attempts of those that it fails.
const faultsPrefer = 0.4

// nearPreference is by how many requests a target of this data centre may be
// ahead of one elsewhere: a request to another one costs bytes between them, and
// a target runs this many at once.
const nearPreference = 4
