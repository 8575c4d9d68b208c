package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ReplicaToReplace returns the id of the member that a new replica replaces, or an
// empty string if the group grows instead. It chooses a member with the address of
// the new replica, because that member's disk must have been lost. Otherwise, if the
// group has the desired number of voters, it chooses the voter that has not replied
// for the longest time, provided that this exceeds ReplaceAfter.
func (r *Replica) ReplicaToReplace(now time.Time, id, address string) string {
	for _, p := range r.Members() {
		if p.GetAddress() == address && p.GetId() != id {
			return p.GetId()
		}
	}
	if r.cfg.DesiredVoters == 0 || r.voterCount() < r.cfg.DesiredVoters {
		return ""
	}
	return r.longestWithoutReply(now, func(p *saddlewire.Peer) bool { return p.GetVoter() })
}

// removeSurplus removes a replica that has not replied for ReplaceAfter if it is a
// learner or the group has more voters than desired. It reports whether it proposed
// a removal.
func (r *Replica) removeSurplus(now time.Time) bool {
	if r.cfg.DesiredVoters == 0 {
		return false
	}
	surplus := r.voterCount() > r.cfg.DesiredVoters
	id := r.longestWithoutReply(now, func(p *saddlewire.Peer) bool { return surplus || !p.GetVoter() })
	if id == "" {
		return false
	}
	r.proposeMembership(now, r.membershipWithout(id))
	return true
}

// longestWithoutReply returns the removable replica that has not replied for
// the longest time, or an empty string if none exceeds ReplaceAfter.
func (r *Replica) longestWithoutReply(now time.Time, removable func(*saddlewire.Peer) bool) string {
	longest := r.cfg.ReplaceAfter
	id := ""
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !removable(p) {
			continue
		}
		if s := r.timeWithoutReply(now, p.GetId()); s > longest {
			longest = s
			id = p.GetId()
		}
	}
	return id
}

// timeWithoutReply returns the time since the leader sent the latest message that
// the replica answered, or since it started to track the replica if that is later.
func (r *Replica) timeWithoutReply(now time.Time, id string) time.Duration {
	p, ok := r.progress[id]
	if !ok {
		return 0
	}
	if p.lastAckedSend.After(p.trackedSince) {
		return now.Sub(p.lastAckedSend)
	}
	return now.Sub(p.trackedSince)
}
