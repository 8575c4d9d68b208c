package saddlefleet

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Fleet is safe for concurrent use.
type Fleet struct {
	node   string
	centre fireflysaddle.DataCentre
	log    zerolog.Logger

	mu       sync.Mutex
	targets  map[fireflysaddle.TargetID]*target
	groups   map[fireflysaddle.Group][]*target // by id
	address  map[string]*target
	entries  int // entries that share the engines, this one among them
	near     int // those of this entry's data centre
	turn     int
	onFailed func()
}

// New returns a fleet without targets. onFailed, if not nil, is called when a
// target begins to be passed over.
func New(node string, centre fireflysaddle.DataCentre, log zerolog.Logger, onFailed func()) *Fleet {
	return &Fleet{node: node, centre: centre, log: log, entries: 1, near: 1, onFailed: onFailed}
}

// Update takes up the targets of a view.
func (f *Fleet) Update(now time.Time, v *saddleview.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := make(map[fireflysaddle.TargetID]*target, len(v.Registrations))
	groups := map[fireflysaddle.Group][]*target{}
	address := make(map[string]*target, len(v.Registrations))
	for id, reg := range v.Registrations {
		t := f.keep(now, fireflysaddle.TargetID(id), reg)
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
	f.countEntries(v)
}

// keep returns the target of a registration, with what is known of it if it has
// not started anew.
func (f *Fleet) keep(now time.Time, id fireflysaddle.TargetID, reg *saddlewire.Registration) *target {
	t, ok := f.targets[id]
	if !ok || t.incarnation != reg.GetIncarnation() {
		t = &target{
			Target:      Target{ID: id, Address: reg.GetAddress(), Centre: fireflysaddle.DataCentre(reg.GetCentre())},
			incarnation: reg.GetIncarnation(),
			firstSeen:   now,
		}
	}
	t.reg = reg
	return t
}

func (f *Fleet) countEntries(v *saddleview.View) {
	f.entries, f.near = 0, 0
	for _, m := range v.Members {
		if fireflysaddle.Role(m.GetRole()) != fireflysaddle.RoleEntry || m.GetLeaving() {
			continue
		}
		f.entries++
		if fireflysaddle.DataCentre(m.GetCentre()) == f.centre {
			f.near++
		}
	}
	f.entries = max(1, f.entries)
	f.near = max(1, f.near)
}

// Entries returns how many entries share the targets.
func (f *Fleet) Entries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.entries
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
	best.running++
	return best.Target, sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		best.running--
	}), true
}

// before reports whether a target is to be chosen before another one.
func (f *Fleet) before(now time.Time, a, b *target) bool {
	if a.suspected(now) != b.suspected(now) {
		return !a.suspected(now)
	}
	if near := a.Centre == f.centre; near != (b.Centre == f.centre) {
		// The other data centres take over when the near one is loaded.
		return near == (a.running <= b.running+nearPreference)
	}
	return a.running < b.running
}

// nearPreference is by how many requests a target of this data centre may be
// ahead of one elsewhere: a request to another one costs bytes between them, and
// a target runs this many at once.
const nearPreference = 4

// Failed notes that a request failed at an address and why.
func (f *Fleet) Failed(now time.Time, address, reason string) {
	f.mu.Lock()
	t, ok := f.address[address]
	began := ok && !t.suspected(now)
	if ok {
		t.fail(now, reason)
	}
	f.mu.Unlock()
	if !began {
		return
	}
	countSuspected.Add(1)
	f.log.Warn().Str("target", string(t.ID)).Str("address", address).Str("reason", reason).
		Uint64("target_incarnation", t.incarnation).Msg("target passed over")
	if f.onFailed != nil {
		f.onFailed()
	}
}

// Answered notes that targets do what they are asked.
func (f *Fleet) Answered(now time.Time, addresses ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if t, ok := f.address[a]; ok && t.failures > 0 && !t.suspected(now) {
			t.good()
			f.log.Info().Str("target", string(t.ID)).Str("address", a).Msg("target answers again")
		}
	}
}

// Suspects returns the targets that are passed over now.
func (f *Fleet) Suspects(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, t := range f.targets {
		if t.suspected(now) {
			out = append(out, string(id))
		}
	}
	slices.Sort(out)
	return out
}

// modelHolders returns the engines of a group that hold layers and are not
// passed over.
func (f *Fleet) modelHolders(now time.Time, group fireflysaddle.Group, avoid []string) []*target {
	var out []*target
	for _, t := range f.groups[group] {
		if len(t.reg.GetLayers()) > 0 && !t.suspected(now) && !slices.Contains(avoid, t.Address) {
			out = append(out, t)
		}
	}
	return out
}

// Covered reports whether the engines of a group hold all layers of its model.
func (f *Fleet) Covered(now time.Time, pool *saddlerouting.Pool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.findChain(now, pool, 0, nil) != nil
}
