package saddletimeline

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Filter selects events; its zero value selects all.
type Filter struct {
	Request   string // prefix of the request ID
	Target    string
	Workspace string // events of the workspace and of its requests
	Since     time.Time
}

// Select returns the matching events in the order of their stamps. The events of
// several processes may be passed in any order.
func (f Filter) Select(events []Event) []Event {
	requests := f.workspaceRequests(events)
	out := make([]Event, 0, len(events))
	for _, e := range events {
		if f.matches(e, requests) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.WallNs, b.WallNs), cmp.Compare(a.Count, b.Count), cmp.Compare(a.Node, b.Node))
	})
	return out
}

// workspaceRequests returns the IDs of the workspace's requests. Only the events of the
// entry that received a request name the workspace, so the other events of the
// request have to be matched by its ID.
func (f Filter) workspaceRequests(events []Event) map[string]bool {
	out := map[string]bool{}
	if f.Workspace == "" {
		return out
	}
	for _, e := range events {
		if e.Request != "" && e.Subject == f.Workspace {
			out[e.Request] = true
		}
	}
	return out
}

func (f Filter) matches(e Event, requests map[string]bool) bool {
	switch {
	case !strings.HasPrefix(e.Request, f.Request):
		return false
	case f.Target != "" && e.Target != f.Target:
		return false
	case f.Workspace != "" && e.Subject != f.Workspace && !requests[e.Request]:
		return false
	}
	return f.Since.IsZero() || e.WallNs >= f.Since.UnixNano()
}
