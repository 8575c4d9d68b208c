package saddlegateway

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
)

// peers are the other entries of this data centre, to which the balancer sends its callers while
// one of them is ready. It is safe for concurrent use.
type peers struct {
	mu      sync.Mutex
	version uint64               // of the members
	known   bool                 // members have been received
	staying int                  // peers that are not shutting down
	leaving map[string]time.Time // peers that are, by node, and when they were first seen so
}

// update takes over the members of a view.
func (p *peers) update(now time.Time, v *saddleview.View, node, centre string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known && p.version == v.MembersVersion {
		return
	}
	before := p.leaving
	p.version, p.known, p.staying, p.leaving = v.MembersVersion, len(v.Members) > 0, 0, map[string]time.Time{}
	for name, m := range v.Members {
		if name == node || m.GetRole() != string(fireflysaddle.RoleEntry) || m.GetCentre() != centre {
			continue
		}
		if !m.GetLeaving() {
			p.staying++
			continue
		}
		p.leaving[name] = now
		if since, ok := before[name]; ok {
			p.leaving[name] = since
		}
	}
}

// allLeaving reports whether no peer stays, and when the last of them began to leave; the zero
// time if there is none.
func (p *peers) allLeaving() (last time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, since := range p.leaving {
		if since.After(last) {
			last = since
		}
	}
	return last, p.known && p.staying == 0
}

// UpdateMembers takes over which other entries there are.
func (g *Gateway) UpdateMembers(now time.Time, v *saddleview.View) {
	g.peers.update(now, v, g.cfg.Node, g.cfg.Centre)
}
