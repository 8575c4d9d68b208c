package saddlestate

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Placements returns the placements, sorted by target.
func (s *State) Placements() []*saddlewire.Placement { return sortedByKey(s.placements) }

// PlacementsSince returns the placements changed after a revision.
func (s *State) PlacementsSince(revision uint64) []*saddlewire.Placement {
	return slices.DeleteFunc(s.Placements(), func(p *saddlewire.Placement) bool {
		return p.GetIndex() <= revision
	})
}

// putPlacement stores a new revision of the desired placement of a target. The
// term and log index are the fencing token of the orders that carry out the
// placement.
func (s *State) putPlacement(index, term uint64, put *saddlewire.PutPlacement) *saddlewire.Result {
	if put.GetTarget() == "" || put.GetGroup() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a placement needs a target and a group")
	}
	current := s.placements[put.GetTarget()].GetRevision()
	if put.GetBase() != current {
		return conflict("placement", put.GetTarget(), put.GetBase(), current)
	}
	s.placements[put.GetTarget()] = &saddlewire.Placement{
		Target:   put.GetTarget(),
		Revision: current + 1,
		Group:    put.GetGroup(),
		Version:  put.GetVersion(),
		Role:     put.GetRole(),
		Adapters: slices.Sorted(slices.Values(put.GetAdapters())),
		Term:     term,
		Index:    index,
	}
	return s.accept(index, current+1)
}
