package saddlereplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// maxReplicas bounds the number of voters and learners of a group.
const maxReplicas = 12

// Members returns the replicas of the latest membership in the log, committed or
// not.
func (r *Replica) Members() []*saddlewire.Peer { return r.members.GetReplicas() }

// CommittedMembers returns the replicas of the latest applied membership. Only
// these may be reported: an uncommitted change may still be overwritten, and a
// replica that it removes may still be needed.
func (r *Replica) CommittedMembers() []*saddlewire.Peer {
	m, _ := r.membershipAt(r.applied)
	return m.GetReplicas()
}

// refreshMembership adopts the latest membership of the log.
func (r *Replica) refreshMembership() {
	r.members, r.membersIndex = r.membershipAt(r.log.last())
}

// membershipAt returns the membership in force at an index and the index of
// its entry.
func (r *Replica) membershipAt(index uint64) (*saddlewire.Membership, uint64) {
	for _, e := range slices.Backward(r.log.slice(r.log.base, index)) {
		if e.GetMembership() != nil {
			return e.GetMembership(), e.GetIndex()
		}
	}
	if m := r.snapshot.GetMembership(); m != nil {
		return m, r.log.base
	}
	return r.cfg.Members, r.log.base
}

func (r *Replica) peer(id string) *saddlewire.Peer {
	return findPeer(r.members, id)
}

func findPeer(m *saddlewire.Membership, id string) *saddlewire.Peer {
	for _, p := range m.GetReplicas() {
		if p.GetId() == id {
			return p
		}
	}
	return nil
}

func (r *Replica) isVoter(id string) bool {
	return r.peer(id).GetVoter()
}

func (r *Replica) voters() int {
	n := 0
	for _, p := range r.members.GetReplicas() {
		if p.GetVoter() {
			n++
		}
	}
	return n
}

func (r *Replica) quorum() int { return r.voters()/2 + 1 }

// AddReplica adds a replica as a learner, which is promoted to voter once it has
// caught up. replaces, if not empty, is the id of a replica that is removed after
// that. Repeating a request changes nothing and returns index 0.
func (r *Replica) AddReplica(now time.Time, id, address, replaces string) (uint64, error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, err
	}
	if old := r.peer(id); old != nil {
		if old.GetAddress() == address && (replaces == "" || replaces == old.GetReplaces() || r.peer(replaces) == nil) {
			return 0, nil
		}
		return 0, &MembershipError{ID: id, Reason: "is already a member of the group, at " + old.GetAddress()}
	}
	if replaces != "" && r.peer(replaces) == nil {
		return 0, &MembershipError{ID: replaces, Reason: "is not a member of the group"}
	}
	if len(r.Members()) >= maxReplicas {
		return 0, &MembershipError{ID: id, Reason: "cannot be added: the group has the maximum number of replicas"}
	}
	next := r.cloneMembers()
	next.Replicas = append(next.Replicas, &saddlewire.Peer{Id: id, Address: address, Replaces: replaces})
	return r.proposeMembers(now, next), nil
}

// RemoveReplica removes a replica. Repeating a request changes nothing and returns
// index 0.
func (r *Replica) RemoveReplica(now time.Time, id string) (uint64, error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, err
	}
	old := r.peer(id)
	if old == nil {
		return 0, nil
	}
	if old.GetVoter() && r.voters() == 1 {
		return 0, &MembershipError{ID: id, Reason: "is the last voter"}
	}
	return r.proposeMembers(now, r.membersWithout(id)), nil
}

// checkMembershipChange allows one membership change at a time, and none before
// the leader committed an entry of its own term.
func (r *Replica) checkMembershipChange(now time.Time) error {
	if !r.LeaseValid(now) {
		return &fireflysaddle.NotLeaderError{}
	}
	if r.membersIndex > r.commit {
		return &MembershipError{ID: r.cfg.ID, Reason: "has another membership change in progress; try again"}
	}
	return nil
}

// advanceReplacement proposes the next step of a replacement: it promotes a learner
// that has caught up, then removes the replica that it replaces, then removes a
// surplus replica.
func (r *Replica) advanceReplacement(now time.Time) {
	if r.checkMembershipChange(now) != nil {
		return
	}
	for _, p := range r.Members() {
		if !p.GetVoter() && r.caughtUp(now, p.GetId()) {
			next := r.cloneMembers()
			findPeer(next, p.GetId()).Voter = true
			r.proposeMembers(now, next)
			return
		}
	}
	for _, p := range r.Members() {
		if p.GetVoter() && p.GetReplaces() != "" {
			next := r.membersWithout(p.GetReplaces())
			findPeer(next, p.GetId()).Replaces = ""
			r.proposeMembers(now, next)
			return
		}
	}
	r.removeSurplus(now)
}

func (r *Replica) caughtUp(now time.Time, id string) bool {
	p, ok := r.progress[id]
	return ok && p.match >= r.commit && now.Sub(p.lastAckedSend) < r.cfg.ElectionTimeout
}

func (r *Replica) cloneMembers() *saddlewire.Membership {
	m, _ := proto.Clone(r.members).(*saddlewire.Membership)
	return m
}

func (r *Replica) membersWithout(id string) *saddlewire.Membership {
	next := r.cloneMembers()
	next.Replicas = slices.DeleteFunc(next.Replicas, func(p *saddlewire.Peer) bool { return p.GetId() == id })
	return next
}

func (r *Replica) proposeMembers(now time.Time, next *saddlewire.Membership) uint64 {
	index := r.append(&saddlewire.LogEntry{Membership: next})
	r.updateMembership(now)
	r.replicate(now)
	return index
}

// updateMembership adopts the latest membership of the log. A leader also adds
// and removes the progress of replicas to match.
func (r *Replica) updateMembership(now time.Time) {
	r.refreshMembership()
	if r.role != Leader {
		return
	}
	for _, p := range r.Members() {
		if _, ok := r.progress[p.GetId()]; !ok {
			r.progress[p.GetId()] = &progress{next: r.log.last() + 1, trackedSince: now}
		}
	}
	for id := range r.progress {
		if id != r.cfg.ID && r.peer(id) == nil {
			delete(r.progress, id)
		}
	}
}
