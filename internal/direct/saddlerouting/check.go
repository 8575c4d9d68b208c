package saddlerouting

import (
	"fmt"
	"strings"
)

// Error is a fault of a routing configuration.
type Error struct {
	Subject string // the route, tenant or field at fault
	Reason  string
}

// Error returns the subject and the reason.
func (e *Error) Error() string { return fmt.Sprintf("%s %s", e.Subject, e.Reason) }

// Check validates the configuration and builds the indexes that Match and Tenant use.
// It returns an *Error for the first fault.
func (r *Routing) Check() error {
	if r.Version == 0 {
		return &Error{Subject: "version", Reason: "must be above 0"}
	}
	r.hosts = map[string]*hostRoutes{}
	r.tenantByKey = map[string]*Tenant{}
	for _, route := range r.Routes {
		if err := r.checkRoute(route); err != nil {
			return err
		}
		if r.hosts[route.Host] == nil {
			r.hosts[route.Host] = newHostRoutes()
		}
		r.hosts[route.Host].add(route)
		r.setObjectives(route)
	}
	for _, t := range r.Tenants {
		for _, key := range t.Keys {
			if other, ok := r.tenantByKey[key]; ok && other != t {
				return &Error{Subject: fmt.Sprintf("tenant %q", t.Name), Reason: fmt.Sprintf("shares a key with tenant %q", other.Name)}
			}
			r.tenantByKey[key] = t
		}
	}
	r.indexRanks()
	return nil
}

// setObjectives takes the objective of a route into account in the pools that it leads to.
func (r *Routing) setObjectives(route *Route) {
	if route.FirstByteObjective <= 0 {
		return
	}
	for _, s := range route.Split {
		if p := r.Pools[s.Group]; s.Weight > 0 && (p.FirstByteObjective <= 0 || route.FirstByteObjective < p.FirstByteObjective) {
			p.FirstByteObjective = route.FirstByteObjective
		}
	}
}

func (r *Routing) checkRoute(route *Route) error {
	fail := func(format string, args ...any) error {
		return &Error{Subject: fmt.Sprintf("route %q", route.Name), Reason: fmt.Sprintf(format, args...)}
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return fail("has prefix %q, which must begin and end with a slash", route.Prefix)
	}
	if route.Timeout <= 0 {
		return fail("has no timeout")
	}
	if h := r.hosts[route.Host]; h != nil && h.byPrefix[route.Prefix] != nil {
		return fail("has the host and prefix of route %q", h.byPrefix[route.Prefix].Name)
	}
	total := 0
	for _, s := range route.Split {
		if s.Weight < 0 {
			return fail("has a negative weight")
		}
		if _, ok := r.Pools[s.Group]; !ok {
			return fail("names group %q, which does not exist", s.Group)
		}
		total += s.Weight
	}
	if total == 0 {
		return fail("has weights that add up to 0")
	}
	return nil
}
