package saddlerouting

import (
	"strings"

	"github.com/fireflysaddle/fireflysaddle"
)

// Routing is a whole routing configuration.
type Routing struct {
	Version uint64
	Routes  []*Route
	Pools   map[fireflysaddle.Group]*Pool
	Tenants []*Tenant
	Limits  Limits

	byHost map[string][]*Route
	byKey  map[string]*Tenant
}

// Pool is a group of targets that can stand in for one another.
type Pool struct {
	Group fireflysaddle.Group
	Model *Model // nil: a plain service
}

// Tenant is a workspace and its keys.
type Tenant struct {
	Name     fireflysaddle.Workspace
	Keys     []string
	Priority int // 0 goes first
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Match returns the route of a host with the longest prefix that begins the path,
// nil when there is none.
func (r *Routing) Match(host, path string) *Route {
	var best *Route
	for _, route := range r.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Tenant returns the workspace that a key belongs to, nil when no one holds it.
func (r *Routing) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return r.byKey[key]
}

// RequiresKey reports whether requests need a key.
func (r *Routing) RequiresKey() bool { return len(r.Tenants) > 0 }

// GetVersion returns the version, 0 without a routing configuration.
func (r *Routing) GetVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}
