package saddlereplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// maxReplicas bounds the total number of voters and learners of a group.
const maxReplicas = 12

// Members returns the replicas of the latest membership in the log, committed or
// not.
func (r *Replica) Members() []*saddlewire.Peer { return r.membership.GetReplicas() }

// CommittedMembers returns the replicas of the latest applied membership. Only
// these may be reported, because an uncommitted change may still be overwritten, and
// a replica that it removes may still be needed.
func (r *Replica) CommittedMembers() []*saddlewire.Peer {
	m, _ := r.membershipAt(r.lastApplied)
	return m.GetReplicas()
}

// refreshMembership adopts the latest membership in the log, committed or not.
func (r *Replica) refreshMembership() {
	r.membership, r.membershipIndex = r.membershipAt(r.log.lastIndex())
}

// membershipAt returns the membership in force at an index, and the index of its log
// entry. If no log entry after the snapshot and up to the index holds a membership, it
// returns the membership of the snapshot, or the configured one if the snapshot has
// none, with the index of the snapshot.
func (r *Replica) membershipAt(index uint64) (*saddlewire.Membership, uint64) {
	for _, e := range slices.Backward(r.log.slice(r.log.snapshotIndex, index)) {
		if e.GetMembership() != nil {
			return e.GetMembership(), e.GetIndex()
		}
	}
	if m := r.snapshot.GetMembership(); m != nil {
		return m, r.log.snapshotIndex
	}
	return r.cfg.Members, r.log.snapshotIndex
}

func (r *Replica) peer(id string) *saddlewire.Peer {
	return findPeer(r.membership, id)
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

func (r *Replica) voterCount() int {
	n := 0
	for _, p := range r.membership.GetReplicas() {
		if p.GetVoter() {
			n++
		}
	}
	return n
}

func (r *Replica) quorum() int { return r.voterCount()/2 + 1 }

// AddReplica adds a replica as a learner, which is promoted to voter once it has
// caught up. replaces, if not empty, is the id of a replica that is removed after
// the promotion. Repeating a request changes nothing and returns index 0.
func (r *Replica) AddReplica(now time.Time, id, address, replaces string) (uint64, error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, err
	}
	if existing := r.peer(id); existing != nil {
		if existing.GetAddress() == address && (replaces == "" || replaces == existing.GetReplaces() || r.peer(replaces) == nil) {
			return 0, nil
		}
		return 0, &MembershipError{ID: id, Reason: "is already a member of the group, at " + existing.GetAddress()}
	}
	if replaces != "" && r.peer(replaces) == nil {
		return 0, &MembershipError{ID: replaces, Reason: "is not a member of the group"}
	}
	if len(r.Members()) >= maxReplicas {
		return 0, &MembershipError{ID: id, Reason: "cannot be added: the group has the maximum number of replicas"}
	}
	next := r.cloneMembership()
	next.Replicas = append(next.Replicas, &saddlewire.Peer{Id: id, Address: address, Replaces: replaces})
	return r.proposeMembership(now, next), nil
}

// RemoveReplica removes a replica. If it is not a member, as after a repeated
// request, nothing changes and the returned index is 0.
func (r *Replica) RemoveReplica(now time.Time, id string) (uint64, error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, err
	}
	existing := r.peer(id)
	if existing == nil {
		return 0, nil
	}
	if existing.GetVoter() && r.voterCount() == 1 {
		return 0, &MembershipError{ID: id, Reason: "is the last voter"}
	}
	return r.proposeMembership(now, r.membershipWithout(id)), nil
}

// RemoveSurplusReplica removes a replica that stops, if the group has more voters than
// desired. If the replica is needed or is not a voter, nothing changes and the returned
// index is 0.
func (r *Replica) RemoveSurplusReplica(now time.Time, id string) (uint64, error) {
	if err := r.checkMembershipChange(now); err != nil {
		return 0, err
	}
	if !r.Surplus(id) {
		return 0, nil
	}
	return r.proposeMembership(now, r.membershipWithout(id)), nil
}

// Surplus reports whether a replica is a voter that the group does not need, because it
// has more voters than desired.
func (r *Replica) Surplus(id string) bool {
	return r.hasSurplusVoters() && r.isVoter(id)
}

func (r *Replica) hasSurplusVoters() bool {
	return r.cfg.DesiredVoters > 0 && r.voterCount() > r.cfg.DesiredVoters
}

// checkMembershipChange returns an error unless this replica is the leader and may
// propose a membership change. It allows one uncommitted change at a time, and none
// before the leader committed an entry of its own term.
func (r *Replica) checkMembershipChange(now time.Time) error {
	if !r.LeaseValid(now) {
		return &fireflysaddle.NotLeaderError{}
	}
	if r.membershipIndex > r.commitIndex {
		return &MembershipError{ID: r.cfg.ID, Reason: "has another membership change in progress; try again"}
	}
	return nil
}

// advanceReplacement proposes the next step of a replacement: to promote a learner
// that has caught up, then to remove the replica that it replaces, then to remove
// a surplus replica.
func (r *Replica) advanceReplacement(now time.Time) {
	if r.checkMembershipChange(now) != nil {
		return
	}
	for _, p := range r.Members() {
		if !p.GetVoter() && r.caughtUp(now, p.GetId()) {
			next := r.cloneMembership()
			findPeer(next, p.GetId()).Voter = true
			r.proposeMembership(now, next)
			return
		}
	}
	for _, p := range r.Members() {
		if p.GetVoter() && p.GetReplaces() != "" {
			next := r.membershipWithout(p.GetReplaces())
			findPeer(next, p.GetId()).Replaces = ""
			r.proposeMembership(now, next)
			return
		}
	}
	r.removeSurplus(now)
}

// caughtUp reports whether a replica stores all committed entries and answered a
// message sent within the last election timeout.
func (r *Replica) caughtUp(now time.Time, id string) bool {
	p, ok := r.progress[id]
	return ok && p.matchIndex >= r.commitIndex && now.Sub(p.lastAckedSend) < r.cfg.ElectionTimeout
}

func (r *Replica) cloneMembership() *saddlewire.Membership {
	m, _ := proto.Clone(r.membership).(*saddlewire.Membership)
	return m
}

func (r *Replica) membershipWithout(id string) *saddlewire.Membership {
	next := r.cloneMembership()
	next.Replicas = slices.DeleteFunc(next.Replicas, func(p *saddlewire.Peer) bool { return p.GetId() == id })
	return next
}

func (r *Replica) proposeMembership(now time.Time, next *saddlewire.Membership) uint64 {
	index := r.appendEntry(&saddlewire.LogEntry{Membership: next})
	r.refreshMembershipAndProgress(now)
	r.replicate(now)
	return index
}

// refreshMembershipAndProgress adopts the latest membership in the log. On a leader,
// it also starts to track added replicas and stops tracking removed ones.
func (r *Replica) refreshMembershipAndProgress(now time.Time) {
	r.refreshMembership()
	if r.role != Leader {
		return
	}
	for _, p := range r.Members() {
		if _, ok := r.progress[p.GetId()]; !ok {
			r.progress[p.GetId()] = &progress{nextIndex: r.log.lastIndex() + 1, trackedSince: now}
		}
	}
	for id := range r.progress {
		if id != r.cfg.ID && r.peer(id) == nil {
			delete(r.progress, id)
		}
	}
}
