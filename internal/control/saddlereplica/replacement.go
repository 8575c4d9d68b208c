package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// ReplicaToReplace returns the id of the member that a new replica replaces, or an
// empty string if the group grows instead. If a member has the address of the new
// replica, ReplicaToReplace chooses that member, because its disk must have been
// lost. Otherwise, if the group has at least the desired number of voters, it
// chooses the voter that has not replied for the longest time. It chooses none if
// this time does not exceed ReplaceAfter.
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

// removeSurplus proposes the removal of one replica that has not replied for
// ReplaceAfter. It considers all learners, and the voters only if the group has more
// of them than desired. It reports whether it proposed a removal.
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

// longestWithoutReply returns the id of the eligible replica that has not replied
// for the longest time, or an empty string if none exceeds ReplaceAfter. It never
// returns this replica.
func (r *Replica) longestWithoutReply(now time.Time, eligible func(*saddlewire.Peer) bool) string {
	longest := r.cfg.ReplaceAfter
	id := ""
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !eligible(p) {
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
// the replica answered. If the leader started to track the replica later than that,
// it returns the time since then. For an untracked replica it returns 0.
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
