package saddlefleet

import (
	"cmp"
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// targetIndex finds targets that accept new requests. Its lists are sorted by ID. A target must
// be removed before its registration is replaced.
type targetIndex struct {
	byAddress       map[string]*target
	groups          map[fireflysaddle.Group][]*target
	holders         map[fireflysaddle.Group][]*target // those in groups that hold layers
	holdersByCentre map[fireflysaddle.Group]map[fireflysaddle.DataCentre][]*target
}

func newTargetIndex() targetIndex {
	return targetIndex{
		byAddress:       map[string]*target{},
		groups:          map[fireflysaddle.Group][]*target{},
		holders:         map[fireflysaddle.Group][]*target{},
		holdersByCentre: map[fireflysaddle.Group]map[fireflysaddle.DataCentre][]*target{},
	}
}

func (x *targetIndex) add(t *target) {
	group := fireflysaddle.Group(t.reg.GetGroup())
	t.indexed = true
	x.byAddress[t.Address] = t
	x.groups[group] = insert(x.groups[group], t)
	if len(t.reg.GetLayers()) == 0 {
		return
	}
	x.holders[group] = insert(x.holders[group], t)
	if x.holdersByCentre[group] == nil {
		x.holdersByCentre[group] = map[fireflysaddle.DataCentre][]*target{}
	}
	x.holdersByCentre[group][t.Centre] = insert(x.holdersByCentre[group][t.Centre], t)
}

// remove removes a target if it is in the index.
func (x *targetIndex) remove(t *target) {
	if !t.indexed {
		return
	}
	t.indexed = false
	group := fireflysaddle.Group(t.reg.GetGroup())
	if x.byAddress[t.Address] == t { // else its successor has been added
		delete(x.byAddress, t.Address)
	}
	x.groups[group] = without(x.groups[group], t)
	if len(t.reg.GetLayers()) == 0 {
		return
	}
	x.holders[group] = without(x.holders[group], t)
	x.holdersByCentre[group][t.Centre] = without(x.holdersByCentre[group][t.Centre], t)
}

// find returns the position of a target in a sorted list.
func find(list []*target, t *target) (int, bool) {
	return slices.BinarySearchFunc(list, t, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

func insert(list []*target, t *target) []*target {
	i, _ := find(list, t)
	return slices.Insert(list, i, t)
}

func without(list []*target, t *target) []*target {
	i, ok := find(list, t)
	if !ok {
		return list
	}
	return slices.Delete(list, i, i+1)
}
