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
}

// local is what this entry knows of a target by itself.
type local struct {
	inFlight int
	circuit  saddleretry.Circuit
	load     *saddlewire.Load // of its last answer
	reported time.Time
}

// Need is what a request needs of its targets.
type Need struct {
	Group   string
	Version string // empty: any
	Kind    fireflysaddle.TargetKind
	Work    fireflysaddle.Work
	Avoid   map[fireflysaddle.TargetID]bool // targets that failed this request
}

// New returns a router that asks the chooser, which it owns.
func New(chooser fireflysaddle.Chooser) *Router {
	return &Router{chooser: chooser, local: map[fireflysaddle.TargetID]*local{}}
}

// Service picks the target of a plain call and counts it as in flight.
func (r *Router) Service(now time.Time, view *saddleview.View, need Need) (saddlechain.Stage, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	offered := r.offered(now, view, need)
	i := r.choose(now, need, offered)
	if i < 0 {
		return saddlechain.Stage{}, false
	}
	r.take(offered[i].stage)
	return offered[i].stage, true
}

// Chain picks the targets of a draft and counts them as in flight. All stages
// are of one version of the model.
func (r *Router) Chain(now time.Time, view *saddleview.View, need Need) (saddlechain.Chain, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, version := range versions(r.offered(now, view, need)) {
		need.Version = version
		if chain, ok := r.plan(now, view, need); ok {
			for _, s := range chain.Stages() {
				r.take(s)
			}
			return chain, true
		}
	}
	return saddlechain.Chain{}, false
}

func (r *Router) plan(now time.Time, view *saddleview.View, need Need) (saddlechain.Chain, bool) {
	offered := r.offered(now, view, need)
	byTarget := make(map[fireflysaddle.TargetID]offer, len(offered))
	stages := make([]saddlechain.Stage, 0, len(offered))
	for _, o := range offered {
		byTarget[o.stage.Target] = o
		stages = append(stages, o.stage)
	}
	return saddlechain.Plan(stages, func(candidates []saddlechain.Stage) int {
		subset := make([]offer, 0, len(candidates))
		for _, c := range candidates {
			subset = append(subset, byTarget[c.Target])
		}
		return r.choose(now, need, subset)
	})
}

// Done notes the end of an attempt at a stage. failed says that the target or
// its agent was at fault; load is what its last answer reported, if any.
func (r *Router) Done(now time.Time, stage saddlechain.Stage, failed bool, load *saddlewire.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.of(stage.Target)
	l.inFlight--
	if load != nil {
		l.load = load
		l.reported = now
	}
	if failed {
		l.circuit.Failed(now)
		return
	}
	l.circuit.Succeeded()
}

// Prune forgets the targets that no view names any more.
func (r *Router) Prune(view *saddleview.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[fireflysaddle.TargetID]bool{}
	for _, m := range view.Members {
		known[fireflysaddle.TargetID(m.GetTarget().GetId())] = true
	}
	for id, l := range r.local {
		if !known[id] && l.inFlight == 0 {
			delete(r.local, id)
		}
	}
}

func (r *Router) take(s saddlechain.Stage) {
	l := r.of(s.Target)
	l.inFlight++
	l.circuit.Sent()
}

func (r *Router) of(id fireflysaddle.TargetID) *local {
	l, ok := r.local[id]
	if !ok {
		l = &local{}
		r.local[id] = l
	}
	return l
}

func (r *Router) choose(now time.Time, need Need, offered []offer) int {
	candidates := make([]fireflysaddle.Candidate, 0, len(offered))
	for _, o := range offered {
		candidates = append(candidates, o.candidate)
	}
	i, ok := r.chooser.Choose(now, need.Work, candidates)
	if !ok {
		return -1
	}
	return i
}
