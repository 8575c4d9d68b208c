package saddleroute

import (
	"maps"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// maxSpareLooks bounds the targets that are looked at for the spares of one
// stage.
const maxSpareLooks = 32

// Spares returns targets that hold the same layers of the same version as the
// later stages of a chain, up to a number for each. They are not counted as in
// flight. Calls go round the targets, so that the requests of a lost stage are
// spread over those that can replace it.
func (r *Router) Spares(now time.Time, view *saddleview.View, need Requirements, chain saddlechain.Chain, each int) []saddlechain.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.layoutOf(view, need, chain)
	if l == nil {
		return nil
	}
	r.spareTurn++
	used := map[fireflysaddle.TargetID]bool{}
	for _, s := range chain.Stages() {
		used[s.Target] = true
	}
	maps.Copy(used, need.Avoid)
	var out []saddlechain.Stage
	for _, s := range chain.Stages()[1:] {
		out = append(out, r.sparesOf(now, l.starts[s.Layers.From], s, used, each)...)
	}
	return out
}

// layoutOf returns the layout that a chain was chosen from, nil when the view
// no longer has it.
func (r *Router) layoutOf(view *saddleview.View, need Requirements, chain saddlechain.Chain) *layout {
	head := chain.Head()
	for _, l := range r.indexOf(view).engines[need.Group] {
		if s, ok := l.starts[head.Layers.From]; ok && l.of == head.Layers.Of {
			if _, ok := s.byTarget[head.Target]; ok {
				return l
			}
		}
	}
	return nil
}

func (r *Router) sparesOf(now time.Time, s *set, stage saddlechain.Stage, used map[fireflysaddle.TargetID]bool, each int) []saddlechain.Stage {
	if s == nil {
		return nil
	}
	var out []saddlechain.Stage
	n := len(s.members)
	for i := range min(n, maxSpareLooks) {
		m := s.members[(r.spareTurn+i)%n]
		if len(out) == each {
			break
		}
		if m.stage.Layers == stage.Layers && !used[m.stage.Target] && m.local.group.Allows(now, &m.local.circuit) {
			out = append(out, m.stage)
		}
	}
	return out
}
