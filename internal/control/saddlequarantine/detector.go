package saddlequarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// minCrashes is the number of times at which targets must have ended under a trait
	// before requests with it are refused. Of identical requests it is the number of targets
	// to which one was sent after the target before had ended.
	minCrashes = 3
	// crashInterval is the time within which targets that end count once: an outage ends
	// many at the same time, and entries report it within one heartbeat interval.
	crashInterval = 300 * time.Millisecond
	// quarantineTime is how long requests are refused.
	quarantineTime = 10 * time.Minute
	// blameTTL is how long the end of a target counts. Requests with a trait may be rare.
	blameTTL = 10 * time.Minute
	// expireInterval is the time between two removals of what has expired.
	expireInterval = time.Second
	// maxTraits bounds the traits that are tracked. If there are more, the oldest identical
	// requests under which one target ended are forgotten.
	maxTraits = 4096
)

// Detector follows the traits that entries blame for the end of targets. A trait that
// ends targets ends each one that begins to answer with it. So a trait is harmless if a target
// has answered with it, and a trait is the cause if targets have ended under it again and again
// and none has answered. It is not safe for concurrent use.
type Detector struct {
	traits      map[string]*trait
	quarantines map[string]*saddlewire.Quarantine // by key
	lifted      map[string]time.Time              // keys of quarantines that were lifted, and when
	expiredAt   time.Time                         // latest time at which what had expired was removed
}

// trait is what is known of a trait. The keys of its maps are targets.
type trait struct {
	ended      map[string]crash     // ended under the trait
	discounted map[string]time.Time // the same, before a target answered with the trait; time of that answer's report
}

// crash is the end of a target under a trait.
type crash struct {
	at      time.Time // time of the first report
	sentAt  time.Time // time at which the latest request with the trait was sent to the target
	endedAt time.Time
}

// New returns a detector without reports.
func New() *Detector {
	return &Detector{traits: map[string]*trait{}, quarantines: map[string]*saddlewire.Quarantine{}, lifted: map[string]time.Time{}}
}

// Change is a quarantine that began or was lifted.
type Change struct {
	Quarantine *saddlewire.Quarantine
	Targets    []string // targets that ended under its traits
	Lifted     bool
}

// Observe takes in the report of a member and returns the quarantines that begin or are
// lifted because of it.
func (d *Detector) Observe(now time.Time, m *saddlewire.Member) []Change {
	if len(m.GetBlames())+len(m.GetHarmless())+len(m.GetQuarantines()) == 0 {
		return nil
	}
	d.expire(now)
	changed := false
	for _, b := range m.GetBlames() {
		for i, name := range b.GetTraits() {
			c := crash{at: now, sentAt: now, endedAt: now.Add(-milliseconds(b.GetEndedMsAgo()))}
			if i < len(b.GetSentMsAgo()) { // else the entry is of an earlier build
				c.sentAt = now.Add(-milliseconds(b.GetSentMsAgo()[i]))
			}
			changed = d.blame(name, b.GetTarget(), c) || changed
		}
	}
	var out []Change
	for _, name := range m.GetHarmless() {
		out = append(out, d.clear(now, name)...)
	}
	for _, q := range m.GetQuarantines() {
		d.adopt(now, q)
	}
	if changed || len(m.GetHarmless()) > 0 {
		out = append(out, d.begin(now)...)
	}
	return out
}

func (d *Detector) expire(now time.Time) {
	if now.Sub(d.expiredAt) < expireInterval {
		return
	}
	d.expiredAt = now
	expired := func(_ string, at time.Time) bool { return now.Sub(at) > blameTTL }
	for name, tr := range d.traits {
		maps.DeleteFunc(tr.ended, func(_ string, c crash) bool { return now.Sub(c.at) > blameTTL })
		maps.DeleteFunc(tr.discounted, expired)
		if len(tr.ended)+len(tr.discounted) == 0 {
			delete(d.traits, name)
		}
	}
	maps.DeleteFunc(d.lifted, expired)
	maps.DeleteFunc(d.quarantines, func(_ string, q *saddlewire.Quarantine) bool { return q.GetUntilMs() <= now.UnixMilli() })
}

// blame records that a target ended under a trait. It reports whether that was not known.
func (d *Detector) blame(name, target string, c crash) bool {
	tr, ok := d.traits[name]
	if !ok {
		if len(d.traits) >= maxTraits && !d.forgetOldest() {
			return false
		}
		tr = &trait{ended: map[string]crash{}, discounted: map[string]time.Time{}}
		d.traits[name] = tr
	}
	_, discounted := tr.discounted[target]
	if _, known := tr.ended[target]; known || discounted {
		return false
	}
	tr.ended[target] = c
	return true
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// forgetOldest forgets the oldest identical requests under which only one target ended, which
// are mostly those of an outage. It reports whether there were such requests.
func (d *Detector) forgetOldest() bool {
	oldest, oldestAt := "", time.Time{}
	for name, tr := range d.traits {
		if !identical(name) || len(tr.ended) != 1 {
			continue
		}
		for _, c := range tr.ended {
			if oldest == "" || c.at.Before(oldestAt) {
				oldest, oldestAt = name, c.at
			}
		}
	}
	delete(d.traits, oldest)
	return oldest != ""
}

// clear records that a target has answered with a trait, and lifts the quarantines of this
// trait alone. A quarantine of several traits then needs the others only.
func (d *Detector) clear(now time.Time, name string) []Change {
	if tr, ok := d.traits[name]; ok {
		for target := range tr.ended {
			tr.discounted[target] = now
		}
		clear(tr.ended)
	}
	var out []Change
	for k, q := range d.quarantines {
		if !slices.Contains(q.GetTraits(), name) {
			continue
		}
		delete(d.quarantines, k)
		d.lifted[k] = now
		rest := slices.DeleteFunc(slices.Clone(q.GetTraits()), func(s string) bool { return s == name })
		if len(rest) == 0 {
			out = append(out, Change{Quarantine: q, Lifted: true})
			continue
		}
		d.quarantines[key(rest)] = &saddlewire.Quarantine{Traits: rest, UntilMs: q.GetUntilMs()}
	}
	return out
}

// adopt takes over a quarantine that is in force at a member, which may have outlasted the
// replicas that decided it.
func (d *Detector) adopt(now time.Time, q *saddlewire.Quarantine) {
	k := key(q.GetTraits())
	_, lifted := d.lifted[k]
	if lifted || q.GetUntilMs() <= now.UnixMilli() || d.covers(q.GetTraits()) {
		return
	}
	d.quarantines[k] = q
}

// begin puts traits in quarantine under which targets have ended often enough. Of traits
// under which some of the same targets ended, only those with the most count. Traits under
// which the very same targets ended cannot be told apart, and are put in quarantine together.
// Only identical requests have nothing else in common that could be put with them, so each of
// their traits is put in quarantine by itself.
func (d *Detector) begin(now time.Time) []Change {
	byTargets := map[string][]string{}
	var suspects [][]string
	for name, tr := range d.traits {
		switch {
		case tr.crashes(name) < minCrashes || d.explained(name, tr):
		case identical(name):
			suspects = append(suspects, []string{name})
		default:
			targets := key(slices.Collect(maps.Keys(tr.ended)))
			byTargets[targets] = append(byTargets[targets], name)
		}
	}
	for _, names := range byTargets {
		suspects = append(suspects, names)
	}
	var out []Change
	for _, names := range suspects {
		slices.Sort(names)
		if d.covers(names) {
			continue
		}
		maps.DeleteFunc(d.quarantines, func(_ string, q *saddlewire.Quarantine) bool { return includes(q.GetTraits(), names) })
		q := &saddlewire.Quarantine{Traits: names, UntilMs: now.Add(quarantineTime).UnixMilli()}
		d.quarantines[key(names)] = q
		out = append(out, Change{Quarantine: q, Targets: slices.Sorted(maps.Keys(d.traits[names[0]].ended))})
	}
	return out
}

// crashes counts the times at which targets ended under a trait.
func (tr *trait) crashes(name string) int {
	if identical(name) {
		return tr.successiveCrashes()
	}
	n := 0
	var counted time.Time
	for _, c := range slices.SortedFunc(maps.Values(tr.ended), func(a, b crash) int { return a.at.Compare(b.at) }) {
		if n == 0 || c.at.Sub(counted) >= crashInterval {
			n++
			counted = c.at
		}
	}
	return n
}

// successiveCrashes counts the targets that ended under identical requests one after the other.
// Those at which such requests ran when another one ended count once, because an outage ends
// them together.
func (tr *trait) successiveCrashes() int {
	n := 0
	var counted time.Time
	for _, c := range slices.SortedFunc(maps.Values(tr.ended), func(a, b crash) int { return a.endedAt.Compare(b.endedAt) }) {
		if n == 0 || !c.sentAt.Before(counted) {
			n++
			counted = c.endedAt
		}
	}
	return n
}

// explained reports whether another trait is the cause rather than this one, as all targets that
// ended under this one, and others, ended under the other. Identical requests explain more: if
// the same targets ended under them, what they share with other requests need not be the cause.
// They are explained by one another only, since a part of them that ends targets is put in
// quarantine itself.
func (d *Detector) explained(name string, tr *trait) bool {
	for otherName, other := range d.traits {
		switch {
		case otherName == name || !subset(tr.ended, other.ended):
		case identical(name) && !identical(otherName):
		case len(other.ended) > len(tr.ended), identical(otherName) && !identical(name):
			return true
		}
	}
	return false
}

// identical reports whether only identical requests have a trait.
func identical(name string) bool { return fireflysaddle.Trait(name).Identical() }

func subset(a, b map[string]crash) bool {
	for k := range a {
		if _, ok := b[k]; !ok {
			return false
		}
	}
	return true
}

// covers reports whether a quarantine refuses all requests with some traits.
func (d *Detector) covers(traits []string) bool {
	for _, q := range d.quarantines {
		if includes(traits, q.GetTraits()) {
			return true
		}
	}
	return false
}

// includes reports whether all is a superset of some.
func includes(all, some []string) bool {
	return !slices.ContainsFunc(some, func(s string) bool { return !slices.Contains(all, s) })
}

// separator does not occur in the names of traits and targets.
const separator = "\x00"

// key identifies a set of names.
func key(names []string) string {
	return strings.Join(slices.Sorted(slices.Values(names)), separator)
}

// AddTo adds the quarantines, and the traits of which entries are to report whether targets
// answer with them, to an update for an entry. Identical requests are added only if more than one
// target ended under them: an outage interrupts many requests once.
func (d *Detector) AddTo(u *saddlewire.Update) {
	for name, tr := range d.traits {
		if len(tr.ended) > 1 || (len(tr.ended) == 1 && !identical(name)) {
			u.Blamed = append(u.Blamed, name)
		}
	}
	slices.Sort(u.GetBlamed())
	for _, q := range d.quarantines {
		u.Quarantines = append(u.Quarantines, q)
	}
	slices.SortFunc(u.GetQuarantines(), func(a, b *saddlewire.Quarantine) int { return cmp.Compare(key(a.GetTraits()), key(b.GetTraits())) })
}
