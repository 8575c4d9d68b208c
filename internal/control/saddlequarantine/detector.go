package saddlequarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	// minCrashes is the number of times at which engines must have ended under a part
	// before requests with it are refused.
	minCrashes = 3
	// crashInterval is the time within which engines that end count once: an outage ends
	// many at the same time, and entries report it within one heartbeat interval.
	crashInterval = 300 * time.Millisecond
	// quarantineTime is how long requests are refused.
	quarantineTime = 10 * time.Minute
	// blameTTL is how long the end of an engine counts. Requests with a part may be rare.
	blameTTL = 10 * time.Minute
	// maxParts bounds the parts that are tracked. Further parts are ignored until blames
	// have expired.
	maxParts = 4096
)

// Detector follows the prompt parts that entries blame for the end of engines. A part that
// ends engines ends each one that begins to answer with it. So a part is harmless if an engine
// has answered with it, and a part is the cause if engines have ended under it again and again
// and none has answered. It is not safe for concurrent use.
type Detector struct {
	parts       map[string]*part
	quarantines map[string]*saddlewire.Quarantine // by key
	lifted      map[string]time.Time              // keys of quarantines that were lifted, and when
}

// part is what is known of a prompt part. The keys of its maps are engines.
type part struct {
	ended      map[string]time.Time // ended under the part; time of the first report
	discounted map[string]time.Time // the same, before an engine answered with the part
}

// New returns a detector without reports.
func New() *Detector {
	return &Detector{parts: map[string]*part{}, quarantines: map[string]*saddlewire.Quarantine{}, lifted: map[string]time.Time{}}
}

// Change is a quarantine that began or was lifted.
type Change struct {
	Quarantine *saddlewire.Quarantine
	Engines    []string // engines that ended under its parts
	Lifted     bool
}

// Observe takes in the report of a member and returns the quarantines that begin or are
// lifted because of it.
func (d *Detector) Observe(now time.Time, m *saddlewire.Member) []Change {
	if len(m.GetBlames())+len(m.GetHarmlessParts())+len(m.GetQuarantines()) == 0 {
		return nil
	}
	d.expire(now)
	for _, b := range m.GetBlames() {
		for _, name := range b.GetParts() {
			d.blame(now, name, b.GetEngine())
		}
	}
	var out []Change
	for _, name := range m.GetHarmlessParts() {
		out = append(out, d.clear(now, name)...)
	}
	for _, q := range m.GetQuarantines() {
		d.adopt(now, q)
	}
	return append(out, d.begin(now)...)
}

func (d *Detector) expire(now time.Time) {
	expired := func(_ string, at time.Time) bool { return now.Sub(at) > blameTTL }
	for name, p := range d.parts {
		maps.DeleteFunc(p.ended, expired)
		maps.DeleteFunc(p.discounted, expired)
		if len(p.ended)+len(p.discounted) == 0 {
			delete(d.parts, name)
		}
	}
	maps.DeleteFunc(d.lifted, expired)
	maps.DeleteFunc(d.quarantines, func(_ string, q *saddlewire.Quarantine) bool { return q.GetUntilMs() <= now.UnixMilli() })
}

func (d *Detector) blame(now time.Time, name, engine string) {
	p, ok := d.parts[name]
	if !ok {
		if len(d.parts) >= maxParts {
			return
		}
		p = &part{ended: map[string]time.Time{}, discounted: map[string]time.Time{}}
		d.parts[name] = p
	}
	if _, ok := p.discounted[engine]; ok {
		return
	}
	if _, ok := p.ended[engine]; !ok {
		p.ended[engine] = now
	}
}

// clear records that an engine has answered with a part, and lifts the quarantines of this
// part alone. A quarantine of several parts then needs the others only.
func (d *Detector) clear(now time.Time, name string) []Change {
	if p, ok := d.parts[name]; ok {
		for engine := range p.ended {
			p.discounted[engine] = now
		}
		clear(p.ended)
	}
	var out []Change
	for k, q := range d.quarantines {
		if !slices.Contains(q.GetParts(), name) {
			continue
		}
		delete(d.quarantines, k)
		d.lifted[k] = now
		rest := slices.DeleteFunc(slices.Clone(q.GetParts()), func(s string) bool { return s == name })
		if len(rest) == 0 {
			out = append(out, Change{Quarantine: q, Lifted: true})
			continue
		}
		d.quarantines[key(rest)] = &saddlewire.Quarantine{Parts: rest, UntilMs: q.GetUntilMs()}
	}
	return out
}

// adopt takes over a quarantine that is in force at a member, which may have outlasted the
// replicas that decided it.
func (d *Detector) adopt(now time.Time, q *saddlewire.Quarantine) {
	k := key(q.GetParts())
	_, lifted := d.lifted[k]
	if lifted || q.GetUntilMs() <= now.UnixMilli() || d.covers(q.GetParts()) {
		return
	}
	d.quarantines[k] = q
}

// begin puts parts in quarantine under which engines have ended often enough. Of parts
// under which some of the same engines ended, only those with the most count. Parts under
// which the very same engines ended cannot be told apart, and are put in quarantine together.
func (d *Detector) begin(now time.Time) []Change {
	byEngines := map[string][]string{}
	for name, p := range d.parts {
		if crashes(p.ended) >= minCrashes && !d.explained(p) {
			engines := key(slices.Collect(maps.Keys(p.ended)))
			byEngines[engines] = append(byEngines[engines], name)
		}
	}
	var out []Change
	for engines, names := range byEngines {
		slices.Sort(names)
		if d.covers(names) {
			continue
		}
		maps.DeleteFunc(d.quarantines, func(_ string, q *saddlewire.Quarantine) bool { return includes(q.GetParts(), names) })
		q := &saddlewire.Quarantine{Parts: names, UntilMs: now.Add(quarantineTime).UnixMilli()}
		d.quarantines[key(names)] = q
		out = append(out, Change{Quarantine: q, Engines: strings.Split(engines, separator)})
	}
	return out
}

// crashes counts the times at which engines ended.
func crashes(ended map[string]time.Time) int {
	n := 0
	var counted time.Time
	for _, at := range slices.SortedFunc(maps.Values(ended), time.Time.Compare) {
		if n == 0 || at.Sub(counted) >= crashInterval {
			n++
			counted = at
		}
	}
	return n
}

// explained reports whether all engines that ended under a part, and others, ended under
// another part.
func (d *Detector) explained(p *part) bool {
	for _, other := range d.parts {
		if len(other.ended) > len(p.ended) && subset(p.ended, other.ended) {
			return true
		}
	}
	return false
}

func subset(a, b map[string]time.Time) bool {
	for k := range a {
		if _, ok := b[k]; !ok {
			return false
		}
	}
	return true
}

// covers reports whether a quarantine refuses all requests with some parts.
func (d *Detector) covers(parts []string) bool {
	for _, q := range d.quarantines {
		if includes(parts, q.GetParts()) {
			return true
		}
	}
	return false
}

// includes reports whether all is a superset of some.
func includes(all, some []string) bool {
	return !slices.ContainsFunc(some, func(s string) bool { return !slices.Contains(all, s) })
}

// separator does not occur in the names of parts and engines.
const separator = "\x00"

// key identifies a set of names.
func key(names []string) string {
	return strings.Join(slices.Sorted(slices.Values(names)), separator)
}

// AddTo adds the quarantines, and the parts of which entries are to report whether engines
// answer with them, to an update for an entry.
func (d *Detector) AddTo(u *saddlewire.Update) {
	for name, p := range d.parts {
		if len(p.ended) > 0 {
			u.BlamedParts = append(u.BlamedParts, name)
		}
	}
	slices.Sort(u.GetBlamedParts())
	for _, q := range d.quarantines {
		u.Quarantines = append(u.Quarantines, q)
	}
	slices.SortFunc(u.GetQuarantines(), func(a, b *saddlewire.Quarantine) int { return cmp.Compare(key(a.GetParts()), key(b.GetParts())) })
}
