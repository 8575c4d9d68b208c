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

// Router selects targets and tracks the outcome of attempts. It is safe for
// concurrent use.
type Router struct {
	mu            sync.Mutex
	chooser       fireflysaddle.Chooser
	targetStates  map[fireflysaddle.TargetID]*targetState
	circuitGroups map[string]*saddleretry.CircuitGroup
	hints         *hints
	loadShare     loadShare
	index         *index
	pool          pool // reused by each choice
	// spareOffset is the index at which the next search for spares begins.
	spareOffset int
}

// New returns a router that takes ownership of the chooser.
func New(chooser fireflysaddle.Chooser) *Router {
	r := &Router{
		chooser:       chooser,
		targetStates:  map[fireflysaddle.TargetID]*targetState{},
		circuitGroups: map[string]*saddleretry.CircuitGroup{},
		hints:         newHints(),
	}
	r.pool.hints = r.hints
	return r
}

// ChooseService chooses the target of a call to a service and counts the call as in
// flight. It returns false if no target is available.
func (r *Router) ChooseService(now time.Time, view *saddleview.View, requirements Requirements) (saddlechain.Stage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.indexFor(view).services[versionKey{group: requirements.Group, version: requirements.Version}]
	if !ok {
		return saddlechain.Stage{}, false
	}
	m := r.choose(now, &requirements, s)
	if m == nil {
		return saddlechain.Stage{}, false
	}
	r.recordSent(now, &requirements, m)
	return m.stage, true
}

// ChooseChain chooses the targets of a draft and counts the draft as in flight at
// each of them. All stages hold the same version of the model: the latest one that
// the requirements allow and for which a complete chain is available. ChooseChain
// returns false if there is none.
func (r *Router) ChooseChain(now time.Time, view *saddleview.View, requirements Requirements) (saddlechain.Chain, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.indexFor(view).layouts[requirements.Group] {
		if requirements.Version != "" && requirements.Version != l.version {
			continue
		}
		chosen := r.chooseStages(now, &requirements, l)
		if chosen == nil {
			chosen = r.chooseAvailableStages(now, &requirements, l)
		}
		if chain, err := saddlechain.New(stagesOf(chosen)); err == nil {
			for _, m := range chosen {
				r.recordSent(now, &requirements, m)
			}
			return chain, true
		}
	}
	return saddlechain.Chain{}, false
}

// chooseStages chooses a target for one stage after the other. It returns nil when a
// choice leads to a layer at which no available target starts.
func (r *Router) chooseStages(now time.Time, requirements *Requirements, l *layout) []*member {
	var chosen []*member
	for next := fireflysaddle.Layer(0); next < l.layerCount; {
		s, ok := l.byFirstLayer[next]
		if !ok {
			return nil
		}
		m := r.choose(now, requirements, s)
		if m == nil {
			return nil
		}
		chosen = append(chosen, m)
		next = m.stage.Layers.To
	}
	return chosen
}

// chooseAvailableStages repeats a choice that chooseStages could not complete. It
// chooses only among available targets from which other available targets lead on to
// the last layer. Unlike chooseStages it checks every engine of the layout. It returns
// nil if no complete chain is available. It also returns nil if every target is
// available, because it would then choose among the same targets as chooseStages.
func (r *Router) chooseAvailableStages(now time.Time, requirements *Requirements, l *layout) []*member {
	available := &layout{layerCount: l.layerCount, byFirstLayer: map[fireflysaddle.Layer]*targetSet{}}
	for _, m := range l.engines {
		if !requirements.Avoid[m.stage.Target] && m.targetState.circuitGroup.Allows(now, &m.targetState.circuit) {
			available.add(m)
		}
	}
	if len(available.engines) == len(l.engines) {
		return nil
	}
	available.indexByFirstLayer()
	return r.chooseStages(now, requirements, available)
}

func stagesOf(members []*member) []saddlechain.Stage {
	out := make([]saddlechain.Stage, 0, len(members))
	for _, m := range members {
		out = append(out, m.stage)
	}
	return out
}

// WithOpenCircuit returns the stages whose target's circuit is open.
func (r *Router) WithOpenCircuit(stages []saddlechain.Stage) []saddlechain.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []saddlechain.Stage
	for _, s := range stages {
		if state, ok := r.targetStates[s.Target]; ok && state.circuit.Open() {
			out = append(out, s)
		}
	}
	return out
}

// RecordResult records the result of an attempt at a stage's target. The attempt no
// longer counts as in flight there.
func (r *Router) RecordResult(now time.Time, stage saddlechain.Stage, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, ok := r.targetStates[stage.Target]
	if !ok {
		return
	}
	state.inFlight--
	if result.Load != nil {
		r.recordLoad(now, state, result.Load)
	}
	state.recordRate(result.Rate)
	state.circuitGroup.RecordOutcome(now, &state.circuit, result.Outcome)
}

// RecordFailure records the failure of a target in an attempt that continues on other
// targets.
func (r *Router) RecordFailure(now time.Time, target fireflysaddle.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.targetStates[target]; ok {
		state.circuitGroup.RecordOutcome(now, &state.circuit, saddleretry.Failed)
	}
}

// RecordLoad records a load report received during an attempt.
func (r *Router) RecordLoad(now time.Time, target fireflysaddle.TargetID, load *saddlewire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.targetStates[target]; ok && load != nil {
		r.recordLoad(now, state, load)
	}
}

// RecordTokenRate records the rate, in tokens per second, of an attempt in progress.
func (r *Router) RecordTokenRate(target fireflysaddle.TargetID, rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.targetStates[target]; ok {
		state.recordRate(rate)
	}
}

func (r *Router) recordLoad(now time.Time, state *targetState, load *saddlewire.Load) {
	state.recordLoad(now, load)
	r.loadShare.record(state.inFlight, load.GetRunning()+load.GetQueued())
}

// InvalidatePrefixes invalidates the prefix hints of a target whose cache events were
// lost.
func (r *Router) InvalidatePrefixes(target fireflysaddle.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state, ok := r.targetStates[target]; ok {
		state.cacheEpoch++
	}
}

// RecordEviction removes the hints of prefixes that a target evicted from its cache.
func (r *Router) RecordEviction(target fireflysaddle.TargetID, prefixes []Prefix) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range prefixes {
		if holders := r.hints.lookup(p.Hash); holders != nil {
			holders.remove(target)
		}
	}
}

// Prune removes the state of targets that are not in the view and have no
// request in flight. It also drops the index, which refers to the state.
func (r *Router) Prune(view *saddleview.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := make(map[fireflysaddle.TargetID]bool, len(view.Members))
	for _, m := range view.Members {
		known[fireflysaddle.TargetID(m.GetTarget().GetId())] = true
	}
	for id, state := range r.targetStates {
		if !known[id] && state.inFlight == 0 {
			state.circuitGroup.Remove(&state.circuit)
			delete(r.targetStates, id)
		}
	}
	r.index = nil
}

func (r *Router) recordSent(now time.Time, requirements *Requirements, m *member) {
	m.targetState.inFlight++
	m.targetState.circuitGroup.RecordSent(now, &m.targetState.circuit)
	r.hints.record(requirements.Prefixes, prefixHolder{target: m.stage.Target, cacheEpoch: m.targetState.cacheEpoch})
}

// stateFor returns the state of a target and creates it if there is none. For a
// new incarnation of the target's agent it resets the circuit and the rate, and
// invalidates the prefix hints.
func (r *Router) stateFor(id fireflysaddle.TargetID, group string, incarnation fireflysaddle.Incarnation, load *saddlewire.Load) *targetState {
	state, ok := r.targetStates[id]
	if !ok {
		state = &targetState{circuitGroup: r.circuitGroup(group), load: load, incarnation: incarnation}
		r.targetStates[id] = state
	}
	if state.incarnation != incarnation {
		state.incarnation = incarnation
		state.cacheEpoch++
		state.rate = 0
		state.circuitGroup.Remove(&state.circuit)
		state.circuit = saddleretry.Circuit{}
	}
	return state
}

func (r *Router) circuitGroup(name string) *saddleretry.CircuitGroup {
	g, ok := r.circuitGroups[name]
	if !ok {
		g = saddleretry.NewCircuitGroup()
		r.circuitGroups[name] = g
	}
	return g
}

// choose returns the member selected by the chooser, or nil when no member of
// the set is available.
func (r *Router) choose(now time.Time, requirements *Requirements, s *targetSet) *member {
	r.hints.rotate(now)
	r.pool.now = now
	r.pool.requirements = requirements
	r.pool.targetSet = s
	r.pool.loadShare = r.loadShare.value()
	i, ok := r.chooser.Choose(now, requirements.Work, &r.pool)
	if !ok {
		return nil
	}
	return s.members[i]
}
