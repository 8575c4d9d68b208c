package saddleroute

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Router picks targets. It is safe for concurrent use.
type Router struct {
	mu      sync.Mutex
	chooser fireflysaddle.Chooser
	local   map[fireflysaddle.TargetID]*local
	groups  map[string]*saddleretry.Group
	hints   *hints
	share   share
	index   *index
	pool    pool // of the choice in progress
	// spareTurn is where the next search for spares begins.
	spareTurn int
}

// New returns a router that asks the chooser, which it owns.
func New(chooser fireflysaddle.Chooser) *Router {
	r := &Router{
		chooser: chooser,
		local:   map[fireflysaddle.TargetID]*local{},
		groups:  map[string]*saddleretry.Group{},
		hints:   newHints(),
	}
	r.pool.hints = r.hints
	return r
}

// ChooseService picks the target of a plain call and counts it as in flight.
func (r *Router) ChooseService(now time.Time, view *saddleview.View, need Requirements) (saddlechain.Stage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.indexOf(view).services[versionKey{group: need.Group, version: need.Version}]
	if !ok {
		return saddlechain.Stage{}, false
	}
	m := r.choose(now, &need, s)
	if m == nil {
		return saddlechain.Stage{}, false
	}
	r.take(now, &need, m)
	return m.stage, true
}

// ChooseChain picks the targets of a draft and counts them as in flight. All stages
// are of one version of the model.
func (r *Router) ChooseChain(now time.Time, view *saddleview.View, need Requirements) (saddlechain.Chain, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.indexOf(view).engines[need.Group] {
		if need.Version != "" && need.Version != l.version {
			continue
		}
		chosen := r.walk(now, &need, l)
		if chosen == nil {
			chosen = r.plan(now, &need, l)
		}
		if chain, err := saddlechain.New(stagesOf(chosen)); err == nil {
			for _, m := range chosen {
				r.take(now, &need, m)
			}
			return chain, true
		}
	}
	return saddlechain.Chain{}, false
}

// walk chooses a stage at each boundary; nil: it came to one that no target
// can take up at present.
func (r *Router) walk(now time.Time, need *Requirements, l *layout) []*member {
	var chosen []*member
	for at := fireflysaddle.Layer(0); at < l.of; {
		s, ok := l.starts[at]
		if !ok {
			return nil
		}
		m := r.choose(now, need, s)
		if m == nil {
			return nil
		}
		chosen = append(chosen, m)
		at = m.stage.Layers.To
	}
	return chosen
}

// plan chooses among the stages from which the end of the model can be reached
// at present. It looks at every target of the version.
func (r *Router) plan(now time.Time, need *Requirements, l *layout) []*member {
	able := &layout{of: l.of, starts: map[fireflysaddle.Layer]*set{}}
	for _, m := range l.all {
		if !need.Avoid[m.stage.Target] && m.local.group.Allows(now, &m.local.circuit) {
			able.add(m)
		}
	}
	if len(able.all) == len(l.all) {
		return nil
	}
	able.arrange()
	return r.walk(now, need, able)
}

func stagesOf(members []*member) []saddlechain.Stage {
	out := make([]saddlechain.Stage, 0, len(members))
	for _, m := range members {
		out = append(out, m.stage)
	}
	return out
}

// WithOpenCircuit returns those of the stages whose targets failed last.
func (r *Router) WithOpenCircuit(stages []saddlechain.Stage) []saddlechain.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []saddlechain.Stage
	for _, s := range stages {
		if l, ok := r.local[s.Target]; ok && l.circuit.Open() {
			out = append(out, s)
		}
	}
	return out
}

// RecordResult notes the end of an attempt at a stage.
func (r *Router) RecordResult(now time.Time, stage saddlechain.Stage, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.local[stage.Target]
	if !ok {
		return
	}
	l.inFlight--
	if result.Load != nil {
		r.report(now, l, result.Load)
	}
	l.saw(result.Rate)
	l.group.Note(now, &l.circuit, result.Outcome)
}

// RecordFailure notes that a target failed in an attempt that goes on without it.
func (r *Router) RecordFailure(now time.Time, target fireflysaddle.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.local[target]; ok {
		l.group.Note(now, &l.circuit, saddleretry.Failed)
	}
}

// RecordLoad takes in the load of a target with an attempt in progress.
func (r *Router) RecordLoad(now time.Time, target fireflysaddle.TargetID, load *saddlewire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.local[target]; ok && load != nil {
		r.report(now, l, load)
	}
}

// RecordTokenRate takes in the rate, in tokens a second, of an attempt in progress.
func (r *Router) RecordTokenRate(target fireflysaddle.TargetID, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.local[target]; ok {
		l.saw(rate)
	}
}

func (r *Router) report(now time.Time, l *local, load *saddlewire.Load) {
	l.report(now, load)
	r.share.note(l.inFlight, load.GetRunning()+load.GetQueued())
}

// InvalidatePrefixes drops what is known of a target's prefix cache: events of it were
// lost.
func (r *Router) InvalidatePrefixes(target fireflysaddle.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.local[target]; ok {
		l.epoch++
	}
}

// RecordEviction notes that a target dropped prefixes from its cache.
func (r *Router) RecordEviction(target fireflysaddle.TargetID, prefixes []Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range prefixes {
		if list := r.hints.of(p.Hash); list != nil {
			list.drop(target)
		}
	}
}

// Prune forgets the targets that no view names any more.
func (r *Router) Prune(view *saddleview.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[fireflysaddle.TargetID]bool, len(view.Members))
	for _, m := range view.Members {
		known[fireflysaddle.TargetID(m.GetTarget().GetId())] = true
	}
	for id, l := range r.local {
		if !known[id] && l.inFlight == 0 {
			l.group.Forget(&l.circuit)
			delete(r.local, id)
		}
	}
	r.index = nil
}

func (r *Router) take(now time.Time, need *Requirements, m *member) {
	m.local.inFlight++
	m.local.group.Sent(now, &m.local.circuit)
	r.hints.sent(need.Prefixes, holder{target: m.stage.Target, epoch: m.local.epoch})
}

// of returns what is known of a target. A new incarnation of its agent starts
// with a closed circuit and an unknown cache and rate.
func (r *Router) of(id fireflysaddle.TargetID, group string, incarnation fireflysaddle.Incarnation, load *saddlewire.Load) *local {
	l, ok := r.local[id]
	if !ok {
		l = &local{group: r.group(group), load: load, incarnation: incarnation}
		r.local[id] = l
	}
	if l.incarnation != incarnation {
		l.incarnation = incarnation
		l.epoch++
		l.rate = 0
		l.group.Forget(&l.circuit)
		l.circuit = saddleretry.Circuit{}
	}
	return l
}

func (r *Router) group(name string) *saddleretry.Group {
	g, ok := r.groups[name]
	if !ok {
		g = saddleretry.NewGroup()
		r.groups[name] = g
	}
	return g
}

// choose asks the chooser; nil: no member of the set can take the request.
func (r *Router) choose(now time.Time, need *Requirements, s *set) *member {
	r.hints.age(now)
	r.pool.now = now
	r.pool.need = need
	r.pool.set = s
	r.pool.share = r.share.value()
	i, ok := r.chooser.Choose(now, need.Work, &r.pool)
	if !ok {
		return nil
	}
	return s.members[i]
}
