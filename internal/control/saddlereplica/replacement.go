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
	return r.longestWithoutReply(now, r.cfg.ReplaceAfter, (*saddlewire.Peer).GetVoter)
}

// removeSurplus proposes the removal of one replica that does not reply: of a learner
// after ReplaceAfter, and of a voter after an election timeout if the group has more
// voters than desired. An even number of voters tolerates no more failures than one voter
// fewer, so a silent surplus voter uses up a failure that the group should tolerate. It
// reports whether it proposed a removal.
func (r *Replica) removeSurplus(now time.Time) bool {
	if r.cfg.DesiredVoters == 0 {
		return false
	}
	id := ""
	if r.hasSurplusVoters() {
		id = r.longestWithoutReply(now, min(r.cfg.ElectionTimeout, r.cfg.ReplaceAfter), (*saddlewire.Peer).GetVoter)
	}
	if id == "" {
		id = r.longestWithoutReply(now, r.cfg.ReplaceAfter, func(p *saddlewire.Peer) bool { return !p.GetVoter() })
	}
	if id == "" {
		return false
	}
	r.proposeMembership(now, r.membershipWithout(id))
	return true
}

// longestWithoutReply returns the id of the eligible replica that has not replied
// for the longest time, or an empty string if none exceeds the limit. It never
// returns this replica.
func (r *Replica) longestWithoutReply(now time.Time, limit time.Duration, eligible func(*saddlewire.Peer) bool) string {
	longest := limit
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
