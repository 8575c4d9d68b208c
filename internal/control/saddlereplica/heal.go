package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ReplicaToReplace returns the replica that a new one takes the place of, empty when
// the group is to grow by it: the one at the same address, whose disk must have
// been lost, or in a group that is large enough the one that has been silent for
// the longest.
func (r *Replica) ReplicaToReplace(now time.Time, id, address string) string {
	for _, p := range r.Members() {
		if p.GetAddress() == address && p.GetId() != id {
			return p.GetId()
		}
	}
	if r.cfg.DesiredVoters == 0 || r.voters() < r.cfg.DesiredVoters {
		return ""
	}
	return r.silent(now, func(p *saddlewire.Peer) bool { return p.GetVoter() })
}

// shrink removes a replica that has been silent for long from a group that has
// more votes than it needs, or that never got a vote. It reports whether it did.
func (r *Replica) shrink(now time.Time) bool {
	if r.cfg.DesiredVoters == 0 {
		return false
	}
	surplus := r.voters() > r.cfg.DesiredVoters
	id := r.silent(now, func(p *saddlewire.Peer) bool { return surplus || !p.GetVoter() })
	if id == "" {
		return false
	}
	r.proposeMembers(now, r.without(id))
	return true
}

// silent returns the replica that has not answered for the longest, if that is
// longer than the silence that a group puts up with, of those that may go.
func (r *Replica) silent(now time.Time, mayGo func(*saddlewire.Peer) bool) string {
	longest := r.cfg.ReplaceAfter
	found := ""
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !mayGo(p) {
			continue
		}
		if s := r.silence(now, p.GetId()); s > longest {
			longest = s
			found = p.GetId()
		}
	}
	return found
}

// silence returns for how long a replica has not answered this leader.
func (r *Replica) silence(now time.Time, id string) time.Duration {
	p, ok := r.progress[id]
	if !ok {
		return 0
	}
	if p.acked.After(p.since) {
		return now.Sub(p.acked)
	}
	return now.Sub(p.since)
}
