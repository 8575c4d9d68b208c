package saddlechain

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// Plan builds a chain from the stages on offer. At each boundary, choose picks
// among the sound stages from which the end of the model can be reached; it returns
// an index into its argument, or a negative number to give up. ok is false
// when no chain can be built.
func Plan(offered []Stage, choose func([]Stage) int) (chain Chain, ok bool) {
	offered = slices.DeleteFunc(slices.Clone(offered), func(s Stage) bool { return s.Layers.Check() != nil })
	if len(offered) == 0 {
		return Chain{}, false
	}
	of := offered[0].Layers.Of
	reaches := reachable(offered, of)
	var stages []Stage
	for at := fireflysaddle.Layer(0); at < of; {
		var candidates []Stage
		for _, s := range offered {
			if s.Layers.From == at && s.Layers.Of == of && reaches[s.Layers.To] {
				candidates = append(candidates, s)
			}
		}
		if len(candidates) == 0 {
			return Chain{}, false
		}
		i := choose(candidates)
		if i < 0 {
			return Chain{}, false
		}
		stages = append(stages, candidates[i])
		at = candidates[i].Layers.To
	}
	chain, err := New(stages)
	return chain, err == nil
}

// reachable returns the boundaries from which the end of the model can be
// reached.
func reachable(offered []Stage, of fireflysaddle.Layer) map[fireflysaddle.Layer]bool {
	reaches := map[fireflysaddle.Layer]bool{of: true}
	for changed := true; changed; {
		changed = false
		for _, s := range offered {
			if s.Layers.Of == of && reaches[s.Layers.To] && !reaches[s.Layers.From] {
				reaches[s.Layers.From] = true
				changed = true
			}
		}
	}
	return reaches
}
