package saddlerouting

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Routing is a complete routing configuration.
type Routing struct {
	Version uint64
	Routes  []*Route
	Pools   map[fireflysaddle.Group]*Pool
	Tenants []*Tenant
	Keyed   bool // requests need a key also if there are no tenants
	Limits  Limits

	hosts       map[string]*hostRoutes
	tenantByKey map[string]*Tenant
	ranks       map[fireflysaddle.Group]*poolRanks
}

// Pool is a group of interchangeable targets.
type Pool struct {
	Group          fireflysaddle.Group
	MaxConnections int    // that each target accepts from all entries together; 0: not stated
	Model          *Model // nil for plain services
	// Ranked tells that the streaming routes to the group differ in priority: some requests have
	// to give way to others, because there is not always room for all. Check sets it.
	Ranked bool
	// FirstByteObjective is the shortest of the routes that lead to the pool, as Check finds it;
	// 0: none has one.
	FirstByteObjective time.Duration
}

const (
	// idleConnShare is the share of the connections of a target that its entries may keep idle.
	// The rest is left for those that open new ones.
	idleConnShare = 0.75
	// minIdleConns lets an entry of many keep a connection for a request and one for a report.
	minIdleConns = 2
)

// IdleConns returns how many idle connections each of the entries may keep to a target, so
// that all of them together leave room for new ones, or 0 if the pool does not state how many
// connections a target accepts.
func (p *Pool) IdleConns(entries int) int {
	if p.MaxConnections == 0 {
		return 0
	}
	return max(minIdleConns, int(idleConnShare*float64(p.MaxConnections)/float64(entries)))
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
	h := r.hosts[host]
	if h == nil {
		return nil
	}
	return h.match(path)
}

// Tenant returns the tenant to which an API key belongs, nil if there is none.
func (r *Routing) Tenant(key string) *Tenant {
	if key == "" {
		return nil
	}
	return r.tenantByKey[key]
}

// RequiresKey reports whether requests need a key, except those of public routes.
func (r *Routing) RequiresKey() bool { return r.Keyed || len(r.Tenants) > 0 }

// GetVersion returns the version, 0 for a nil configuration.
func (r *Routing) GetVersion() uint64 {
	if r == nil {
		return 0
	}
	return r.Version
}
