package saddleroute

import (
	"maps"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// maxSpareChecks bounds the targets checked when looking for the spares of one
// stage.
const maxSpareChecks = 32

// Spares returns, for each stage of a chain but the first, up to perStage other
// targets that hold the same layers of the same version. They are not counted
// as in flight. Successive calls start at different targets, so that the
// requests whose stage fails are spread over the possible replacements.
func (r *Router) Spares(now time.Time, view *saddleview.View, requirements Requirements, chain saddlechain.Chain, perStage int) []saddlechain.Stage {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.layoutFor(view, requirements, chain)
	if l == nil {
		return nil
	}
	r.spareOffset++
	excluded := map[fireflysaddle.TargetID]bool{}
	for _, s := range chain.Stages() {
		excluded[s.Target] = true
	}
	maps.Copy(excluded, requirements.Avoid)
	var out []saddlechain.Stage
	for _, s := range chain.Stages()[1:] {
		out = append(out, r.findSpares(now, l.byFirstLayer[s.Layers.From], s, excluded, perStage)...)
	}
	return out
}

// layoutFor returns the layout that a chain was chosen from, or nil when the
// view no longer contains it.
func (r *Router) layoutFor(view *saddleview.View, requirements Requirements, chain saddlechain.Chain) *layout {
	head := chain.Head()
	for _, l := range r.indexFor(view).layouts[requirements.Group] {
		if s, ok := l.byFirstLayer[head.Layers.From]; ok && l.layerCount == head.Layers.ModelLayers {
			if _, ok := s.byTarget[head.Target]; ok {
				return l
			}
		}
	}
	return nil
}

func (r *Router) findSpares(now time.Time, s *targetSet, stage saddlechain.Stage, excluded map[fireflysaddle.TargetID]bool, limit int) []saddlechain.Stage {
	if s == nil {
		return nil
	}
	var out []saddlechain.Stage
	n := len(s.members)
	for i := range min(n, maxSpareChecks) {
		m := s.members[(r.spareOffset+i)%n]
		if len(out) == limit {
			break
		}
		if m.stage.Layers == stage.Layers && !excluded[m.stage.Target] && m.targetState.circuitGroup.Allows(now, &m.targetState.circuit) {
			out = append(out, m.stage)
		}
	}
	return out
}
