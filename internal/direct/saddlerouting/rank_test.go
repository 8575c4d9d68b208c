package saddlerouting_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// rankedRouting has routes of the given priorities to a pool with a model, and tenants of the
// priorities 0 and 1.
func rankedRouting(t *testing.T, priorities ...int) *saddlerouting.Routing {
	t.Helper()
	r := routing()
	r.Pools["desk"].Model = &saddlerouting.Model{}
	r.Tenants[1].Priority = 1
	for i, priority := range priorities {
		x := route("drafts", "a.example", "/"+string(rune('a'+i))+"/")
		x.Kind, x.Priority = saddlerouting.Streaming, priority
		r.Routes = append(r.Routes, x)
	}
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestTenantsOrderBeforeRoutes(t *testing.T) {
	is := is.New(t)
	r := rankedRouting(t, 0, 5, 2)
	var ranks []int
	for _, tenant := range r.Tenants {
		for _, route := range r.Routes {
			rank, ranked := r.Rank("desk", route, tenant)
			is.True(ranked)
			ranks = append(ranks, rank)
		}
	}
	is.Equal(ranks, []int{0, 2, 1, 3, 5, 4})
}

func TestPoolsWhoseRoutesHaveOnePriorityAreNotRanked(t *testing.T) {
	is := is.New(t)
	r := rankedRouting(t, 1, 1)
	_, ranked := r.Rank("desk", r.Routes[0], r.Tenants[0])
	is.True(!ranked)
	plain := route("plain", "a.example", "/p/") // is no stream
	plain.Priority = 2
	r.Routes = append(r.Routes, plain)
	is.NoErr(r.Check())
	_, ranked = r.Rank("desk", r.Routes[0], r.Tenants[0])
	is.True(!ranked)
}
