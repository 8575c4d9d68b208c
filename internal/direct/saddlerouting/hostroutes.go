package saddlerouting

import "strings"

// hostRoutes holds the routes of one host by prefix. Every prefix begins and ends with a slash.
type hostRoutes struct {
	byPrefix  map[string]*Route
	maxPrefix int // length of the longest prefix
}

func newHostRoutes() *hostRoutes { return &hostRoutes{byPrefix: map[string]*Route{}} }

func (h *hostRoutes) add(route *Route) {
	h.byPrefix[route.Prefix] = route
	h.maxPrefix = max(h.maxPrefix, len(route.Prefix))
}

// match returns the route with the longest prefix that matches the path, nil if there is
// none. It looks up the path up to each of its slashes, the last one first. The longest
// prefix bounds the time that a long path takes.
func (h *hostRoutes) match(path string) *Route {
	path = path[:min(len(path), h.maxPrefix)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route, ok := h.byPrefix[path[:end+1]]; ok {
			return route
		}
	}
	return nil
}
