package saddleadmission

import (
	"math/bits"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// starvingShare is the fraction of the share of all requests that is served, below which the
	// requests of a route, workspace or size starve.
	starvingShare = 0.5
	// minShareSample is the number of recent arrivals from which a share counts.
	minShareSample = 4
	// shareHalfLife is the half-life of the arrivals that count.
	shareHalfLife = 5 * time.Second
	// maxShares bounds the routes, workspaces and sizes that are remembered.
	maxShares = 512
)

// shareKey names the requests of a route, of a workspace, or of a size within a factor of two.
type shareKey struct {
	route     string
	workspace fireflysaddle.Workspace
	magnitude int
}

// keysOf returns the groups of requests to which one belongs.
func keysOf(r *Request) [3]shareKey {
	return [3]shareKey{{route: r.Route}, {workspace: r.Workspace}, {magnitude: bits.Len(uint(max(1, r.Tokens)))}}
}

// share counts the requests of a group that have arrived, and those that have begun.
type share struct{ arrived, served decaying }

// ratio returns the share of the requests that have begun, and whether it counts.
func (s *share) ratio(now time.Time) (float64, bool) {
	arrived := s.arrived.at(now)
	if arrived < minShareSample {
		return 0, false
	}
	return s.served.at(now) / arrived, true
}

// shares finds the requests that starve.
type shares struct {
	all    *share
	groups map[shareKey]*share
}

func newShares() shares { return shares{all: newShare(), groups: map[shareKey]*share{}} }

func newShare() *share {
	return &share{arrived: decaying{halfLife: shareHalfLife}, served: decaying{halfLife: shareHalfLife}}
}

func (s *shares) arrive(now time.Time, r *Request) {
	s.all.arrived.add(now, 1)
	for _, k := range keysOf(r) {
		g := s.groups[k]
		if g == nil {
			s.forget(now)
			g = newShare()
			s.groups[k] = g
		}
		g.arrived.add(now, 1)
	}
}

// forget makes space for one more group.
func (s *shares) forget(now time.Time) {
	if len(s.groups) < maxShares {
		return
	}
	for k, g := range s.groups {
		if g.arrived.at(now) < 1 {
			delete(s.groups, k)
		}
	}
	if len(s.groups) >= maxShares {
		clear(s.groups)
	}
}

func (s *shares) serve(now time.Time, r *Request) {
	s.all.served.add(now, 1)
	for _, k := range keysOf(r) {
		if g := s.groups[k]; g != nil {
			g.served.add(now, 1)
		}
	}
}

// starving reports whether the requests of the route, workspace or size of one are served much
// less often than all.
func (s *shares) starving(now time.Time, r *Request) bool {
	all, ok := s.all.ratio(now)
	if !ok {
		return false
	}
	for _, k := range keysOf(r) {
		if g := s.groups[k]; g != nil {
			if ratio, ok := g.ratio(now); ok && ratio < starvingShare*all {
				return true
			}
		}
	}
	return false
}
