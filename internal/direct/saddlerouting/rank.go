package saddlerouting

import (
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// poolRanks are the priorities that requests to a pool can have.
type poolRanks struct {
	routes  []int // priorities of the streaming routes, in ascending order
	tenants []int // priorities of the tenants, in ascending order
}

// ranked reports whether the streaming routes to a pool with a model differ in priority.
func (p *poolRanks) ranked() bool { return len(p.routes) > 1 }

// indexRanks collects the priorities of each pool with a model, and sets Ranked of the pools.
func (r *Routing) indexRanks() {
	tenants := map[int]bool{}
	for _, t := range r.Tenants {
		tenants[t.Priority] = true
	}
	byGroup := map[fireflysaddle.Group]map[int]bool{}
	for _, route := range r.Routes {
		for _, s := range route.Split {
			if pool := r.Pools[s.Group]; route.Kind != Streaming || s.Weight == 0 || pool == nil || pool.Model == nil {
				continue
			}
			if byGroup[s.Group] == nil {
				byGroup[s.Group] = map[int]bool{}
			}
			byGroup[s.Group][route.Priority] = true
		}
	}
	r.ranks = map[fireflysaddle.Group]*poolRanks{}
	for group, priorities := range byGroup {
		r.ranks[group] = &poolRanks{routes: slices.Sorted(maps.Keys(priorities)), tenants: slices.Sorted(maps.Keys(tenants))}
		r.Pools[group].Ranked = r.ranks[group].ranked()
	}
}

// Rank returns the rank of a stream among those to a pool, 0 for the most urgent, if the routes
// to the pool differ in priority. The priority of the tenant goes first, then that of the route.
// tenant is nil if no key is required.
func (r *Routing) Rank(group fireflysaddle.Group, route *Route, tenant *Tenant) (rank int, ranked bool) {
	p := r.ranks[group]
	if p == nil || !p.ranked() || route.Kind != Streaming {
		return 0, false
	}
	rank, _ = slices.BinarySearch(p.routes, route.Priority)
	if tenant != nil {
		i, _ := slices.BinarySearch(p.tenants, tenant.Priority)
		rank += i * len(p.routes)
	}
	return rank, true
}
