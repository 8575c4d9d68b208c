package saddlerouting_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// manyRoutes is the number of routes of one host in a large configuration.
	manyRoutes = 40_000
	// inForceWithin is the time in which an accepted configuration comes into force.
	inForceWithin = 2 * time.Second
)

// routingOf returns an unchecked configuration with a number of routes of one host.
func routingOf(routes int) *saddlerouting.Routing {
	r := routing()
	for i := range routes {
		r.Routes = append(r.Routes, route(fmt.Sprint("r", i), "a.example", fmt.Sprintf("/shelf%d/book%d/", i%100, i)))
	}
	return r
}

// Load: a configuration with many routes of one host comes into force. Guards against a check
// of each route against all others.
func TestManyRoutesAreCheckedInTime(t *testing.T) {
	r := routingOf(manyRoutes)
	start := time.Now()
	is.New(t).NoErr(r.Check())
	if took := time.Since(start); took > inForceWithin/2 { // the rest is for decoding and distribution
		t.Fatalf("checked in %v", took)
	}
}

// Load: requests come to a host with many routes. Guards against a search of all of them for
// each request.
func TestMatchDoesNotSearchAllRoutes(t *testing.T) {
	const requests = 50_000
	r := routingOf(manyRoutes)
	is.New(t).NoErr(r.Check())
	paths := []string{"/shelf7/book107/page/1", "/shelf7/none/", "/" + strings.Repeat("/", 8000)}
	start := time.Now()
	for i := range requests {
		r.Match("a.example", paths[i%len(paths)])
	}
	if took := time.Since(start); took > time.Second {
		t.Fatalf("%d requests matched in %v", requests, took)
	}
}

func TestMatchFindsWhatASearchOfAllRoutesFinds(t *testing.T) {
	prefixes := []string{"/", "//", "/a/", "/a//", "/a/b/", "/a/b/c/", "/ab/", "/b/a/a/", "/é/"}
	parts := []string{"", "/", "//", "a", "b", "ab", "a/", "/b", "é/", "/c/"}
	for skip := range len(prefixes) {
		r := routing()
		for i, p := range prefixes {
			if i != skip {
				r.Routes = append(r.Routes, route(p, "a.example", p))
			}
		}
		is.New(t).NoErr(r.Check())
		for i := range len(parts) * len(parts) * len(parts) * len(parts) {
			path := parts[i%10] + parts[i/10%10] + parts[i/100%10] + parts[i/1000]
			var want *saddlerouting.Route
			for _, route := range r.Routes {
				if strings.HasPrefix(path, route.Prefix) && (want == nil || len(route.Prefix) > len(want.Prefix)) {
					want = route
				}
			}
			if got := r.Match("a.example", path); got != want {
				t.Fatalf("path %q: got %v, want %v", path, got, want)
			}
		}
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{400, 4000, manyRoutes} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := routingOf(n)
			for b.Loop() {
				if err := r.Check(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{400, 4000, manyRoutes} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := routingOf(n)
			if err := r.Check(); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				r.Match("a.example", "/shelf7/book107/page/1")
			}
		})
	}
}
