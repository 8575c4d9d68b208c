package saddlerouting_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

func route(name, host, prefix string) *saddlerouting.Route {
	return &saddlerouting.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second,
		Split: []saddlerouting.Share{{Group: "desk", Weight: 1}},
	}
}

func routing(routes ...*saddlerouting.Route) *saddlerouting.Routing {
	return &saddlerouting.Routing{
		Version: 1,
		Routes:  routes,
		Pools:   map[fireflysaddle.Group]*saddlerouting.Pool{"desk": {Group: "desk"}},
		Tenants: []*saddlerouting.Tenant{{Name: "small", Keys: []string{"k1", "k2"}}, {Name: "large", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	r := routing(route("all", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("x", "a.example", "/x/"), route("other", "b.example", "/x/"))
	is.New(t).NoErr(r.Check())
	for path, want := range map[string]string{"/": "all", "/x": "all", "/x/": "x", "/x/y": "x", "/x/y/z": "deep", "/z/x/": "all"} {
		is.New(t).Equal(r.Match("a.example", path).Name, want)
	}
	is.New(t).Equal(r.Match("b.example", "/y/"), nil)
	is.New(t).Equal(r.Match("c.example", "/x/"), nil)
}

func TestAPoolHasTheShortestObjectiveOfItsRoutes(t *testing.T) {
	is := is.New(t)
	slow, fast, none := route("slow", "a.example", "/"), route("fast", "a.example", "/x/"), route("none", "a.example", "/y/")
	slow.FirstByteObjective, fast.FirstByteObjective = time.Second, 500*time.Millisecond
	r := routing(slow, fast, none)
	r.Pools["idle"] = &saddlerouting.Pool{Group: "idle"}
	is.NoErr(r.Check())
	is.Equal(r.Pools["desk"].FirstByteObjective, 500*time.Millisecond)
	is.Equal(r.Pools["idle"].FirstByteObjective, time.Duration(0)) // no route leads there
}

func TestAKeyBelongsToOneTenant(t *testing.T) {
	is := is.New(t)
	r := routing(route("all", "a.example", "/"))
	is.NoErr(r.Check())
	is.Equal(r.Tenant("k2").Name, fireflysaddle.Workspace("small"))
	is.Equal(r.Tenant("k9"), nil)
	is.Equal(r.Tenant(""), nil)
}

func TestInvalidRoutingIsRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*saddlerouting.Routing){
		"no version":                     func(r *saddlerouting.Routing) { r.Version = 0 },
		"no timeout":                     func(r *saddlerouting.Routing) { r.Routes[0].Timeout = 0 },
		"an unknown group":               func(r *saddlerouting.Routing) { r.Routes[0].Split[0].Group = "nobody" },
		"no weight":                      func(r *saddlerouting.Routing) { r.Routes[0].Split[0].Weight = 0 },
		"a negative weight":              func(r *saddlerouting.Routing) { r.Routes[0].Split[0].Weight = -1 },
		"no group":                       func(r *saddlerouting.Routing) { r.Routes[0].Split = nil },
		"the same host and prefix twice": func(r *saddlerouting.Routing) { r.Routes = append(r.Routes, route("again", "a.example", "/x/")) },
		"a prefix without a final slash": func(r *saddlerouting.Routing) { r.Routes[0].Prefix = "/x" },
		"a shared key":                   func(r *saddlerouting.Routing) { r.Tenants[1].Keys = []string{"k1"} },
	} {
		t.Run(name, func(t *testing.T) {
			r := routing(route("x", "a.example", "/x/"))
			invalidate(r)
			var invalid *saddlerouting.Error
			is.New(t).True(errors.As(r.Check(), &invalid))
		})
	}
}

func TestDuplicateRouteNamesTheFirst(t *testing.T) {
	is := is.New(t)
	err := routing(route("x", "a.example", "/x/"), route("x", "b.example", "/x/"), route("again", "a.example", "/x/")).Check()
	is.True(err != nil)
	is.Equal(err.Error(), `route "again" has the host and prefix of route "x"`)
}

func TestASplitFollowsItsWeights(t *testing.T) {
	is := is.New(t)
	r := route("x", "a.example", "/x/")
	r.Split = []saddlerouting.Share{{Group: "a", Weight: 90}, {Group: "b", Weight: 0}, {Group: "c", Weight: 10}}
	counts := map[fireflysaddle.Group]int{}
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	is.Equal(counts["a"], 900)
	is.Equal(counts["b"], 0)
	is.Equal(counts["c"], 100)
}
