package saddlefleet

import (
	"fmt"
	"maps"
	"slices"
)

// Index describes the targets that accept new requests.
func (f *Fleet) Index() []string {
	var out []string
	for address, t := range f.byAddress {
		out = append(out, fmt.Sprint("at ", address, " ", t.Lifetime()))
	}
	for group, list := range f.groups {
		for i, t := range list {
			out = append(out, fmt.Sprint("in ", group, " ", i, " ", t.Lifetime()))
		}
	}
	for group, list := range f.holders {
		for i, t := range list {
			out = append(out, fmt.Sprint("held in ", group, " ", i, " ", t.Lifetime(), t.reg.GetLayers()))
		}
	}
	for group, centres := range f.holdersByCentre {
		for _, centre := range slices.Sorted(maps.Keys(centres)) {
			for i, t := range centres[centre] {
				out = append(out, fmt.Sprint("held in ", group, " ", centre, " ", i, " ", t.Lifetime()))
			}
		}
	}
	slices.Sort(out)
	return out
}
