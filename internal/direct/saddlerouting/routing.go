package saddlerouting

import (
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Routing is a complete routing configuration.
type Routing struct {
	Version uint64
	Routes  []*Route
	Pools   map[fireflysaddle.Group]*Pool
	Tenants []*Tenant
	Limits  Limits

	routesByHost map[string][]*Route
	tenantByKey  map[string]*Tenant
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Group fireflysaddle.Group
	Model *Model // nil for plain services
	// FirstByteObjective is the shortest of the routes that lead to the pool, as Check finds it;
	// 0: none has one.
	FirstByteObjective time.Duration
}

// Tenant holds the routing settings of a workspace: the API keys that identify its
// requests, and their priority. A fireflysaddle.Workspace is only the name.
type Tenant struct {
	Name     fireflysaddle.Workspace
	Keys     []string
	Priority int // 0 is the highest
}

// Limits bound the size of a caller's request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Match returns the route of a host with the longest prefix that matches the path, nil
// if there is none.
func (r *Routing) Match(host, path string) *Route {
	var best *Route
	for _, route := range r.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Tenant returns the tenant to which an API key belongs, nil if there is none.
func (r *Routing) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return r.tenantByKey[key]
}

// RequiresKey reports whether requests need a key, which is so if the configuration
// has any workspaces.
func (r *Routing) RequiresKey() bool { return len(r.Tenants) > 0 }

// GetVersion returns the version, 0 for a nil configuration.
func (r *Routing) GetVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}
