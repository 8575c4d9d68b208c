package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ReplicaToReplace returns the id of the replica that a new one replaces, or an empty
// string if the group grows instead. It chooses a replica at the same address,
// whose disk must have been lost; otherwise, if the group has enough voters, the
// voter that has not replied for the longest time, provided that this exceeds
// the configured limit.
func (r *Replica) ReplicaToReplace(now time.Time, id, address string) string {
	for _, p := range r.Members() {
		if p.GetAddress() == address && p.GetId() != id {
			return p.GetId()
		}
	}
	if r.cfg.DesiredVoters == 0 || r.voters() < r.cfg.DesiredVoters {
		return ""
	}
	return r.longestSilent(now, func(p *saddlewire.Peer) bool { return p.GetVoter() })
}

// removeSurplus removes a replica that has not replied for the configured time,
// if it is a learner or the group has more voters than configured. It reports
// whether it proposed a removal.
func (r *Replica) removeSurplus(now time.Time) bool {
	if r.cfg.DesiredVoters == 0 {
		return false
	}
	surplus := r.voters() > r.cfg.DesiredVoters
	id := r.longestSilent(now, func(p *saddlewire.Peer) bool { return surplus || !p.GetVoter() })
	if id == "" {
		return false
	}
	r.proposeMembers(now, r.membersWithout(id))
	return true
}

// longestSilent returns the removable replica that has not replied for the longest
// time, or an empty string if none exceeds the configured limit.
func (r *Replica) longestSilent(now time.Time, removable func(*saddlewire.Peer) bool) string {
	longest := r.cfg.ReplaceAfter
	id := ""
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !removable(p) {
			continue
		}
		if s := r.silenceOf(now, p.GetId()); s > longest {
			longest = s
			id = p.GetId()
		}
	}
	return id
}

// silenceOf returns how long a replica has not replied to this leader.
func (r *Replica) silenceOf(now time.Time, id string) time.Duration {
	p, ok := r.progress[id]
	if !ok {
		return 0
	}
	if p.lastAckedSend.After(p.trackedSince) {
		return now.Sub(p.lastAckedSend)
	}
	return now.Sub(p.trackedSince)
}
