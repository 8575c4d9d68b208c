package saddlereplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// maxReplicas bounds the replicas of a group, with and without a vote.
const maxReplicas = 12

// Members returns the replicas as the log has them, also by an entry that is
// not committed yet.
func (r *Replica) Members() []*saddlewire.Peer { return r.members.GetReplicas() }

// CommittedMembers returns the replicas as the applied log has them. Only these
// may be reported: a change that is not committed may still be undone, and a
// replica that it removes may still be needed.
func (r *Replica) CommittedMembers() []*saddlewire.Peer {
	m, _ := r.membershipAt(r.applied)
	return m.GetReplicas()
}

// useMembership takes up the latest membership of the log.
func (r *Replica) useMembership() {
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
	return find(r.members, id)
}

func find(m *saddlewire.Membership, id string) *saddlewire.Peer {
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

// AddReplica lets a new replica follow without a vote; once it is caught up it
// gets one. replaces, if not empty, is removed after that. Asking again for
// what was asked before changes nothing and returns index 0.
func (r *Replica) AddReplica(now time.Time, id, address, replaces string) (uint64, error) {
	if err := r.mayChange(now); err != nil {
		return 0, err
	}
	if old := r.peer(id); old != nil {
		if old.GetAddress() == address && (replaces == "" || replaces == old.GetReplaces() || r.peer(replaces) == nil) {
			return 0, nil
		}
		return 0, &MembershipError{ID: id, Reason: "is a replica already, at " + old.GetAddress()}
	}
	if replaces != "" && r.peer(replaces) == nil {
		return 0, &MembershipError{ID: replaces, Reason: "is not a replica"}
	}
	if len(r.Members()) >= maxReplicas {
		return 0, &MembershipError{ID: id, Reason: "is one too many"}
	}
	next := r.cloneMembers()
	next.Replicas = append(next.Replicas, &saddlewire.Peer{Id: id, Address: address, Replaces: replaces})
	return r.proposeMembers(now, next), nil
}

// RemoveReplica removes a replica. Asking again changes nothing and returns
// index 0.
func (r *Replica) RemoveReplica(now time.Time, id string) (uint64, error) {
	if err := r.mayChange(now); err != nil {
		return 0, err
	}
	old := r.peer(id)
	if old == nil {
		return 0, nil
	}
	if old.GetVoter() && r.voters() == 1 {
		return 0, &MembershipError{ID: id, Reason: "is the last with a vote"}
	}
	return r.proposeMembers(now, r.without(id)), nil
}

// mayChange allows one change of membership at a time, and none before the
// leader committed an entry of its own term.
func (r *Replica) mayChange(now time.Time) error {
	if !r.LeaseValid(now) {
		return &fireflysaddle.NotLeaderError{}
	}
	if r.membersIndex > r.commit {
		return &MembershipError{ID: r.cfg.ID, Reason: "is still carrying out another change of the replicas; try again"}
	}
	return nil
}

// repair takes the next step of a replacement: a vote for a replica that is
// caught up, then the removal of the one that it replaces, then that of one that
// the group can do without.
func (r *Replica) repair(now time.Time) {
	if r.mayChange(now) != nil {
		return
	}
	for _, p := range r.Members() {
		if !p.GetVoter() && r.caughtUp(now, p.GetId()) {
			next := r.cloneMembers()
			find(next, p.GetId()).Voter = true
			r.proposeMembers(now, next)
			return
		}
	}
	for _, p := range r.Members() {
		if p.GetVoter() && p.GetReplaces() != "" {
			next := r.without(p.GetReplaces())
			find(next, p.GetId()).Replaces = ""
			r.proposeMembers(now, next)
			return
		}
	}
	r.shrink(now)
}

func (r *Replica) caughtUp(now time.Time, id string) bool {
	p, ok := r.progress[id]
	return ok && p.match >= r.commit && now.Sub(p.acked) < r.cfg.ElectionTimeout
}

func (r *Replica) cloneMembers() *saddlewire.Membership {
	m, _ := proto.Clone(r.members).(*saddlewire.Membership)
	return m
}

func (r *Replica) without(id string) *saddlewire.Membership {
	next := r.cloneMembers()
	next.Replicas = slices.DeleteFunc(next.Replicas, func(p *saddlewire.Peer) bool { return p.GetId() == id })
	return next
}

func (r *Replica) proposeMembers(now time.Time, next *saddlewire.Membership) uint64 {
	index := r.append(&saddlewire.LogEntry{Membership: next})
	r.followMembers(now)
	r.replicate(now)
	return index
}

// followMembers takes up the membership of the log, at a leader also in what
// it keeps of each replica.
func (r *Replica) followMembers(now time.Time) {
	r.useMembership()
	if r.role != Leader {
		return
	}
	for _, p := range r.Members() {
		if _, ok := r.progress[p.GetId()]; !ok {
			r.progress[p.GetId()] = &progress{next: r.log.last() + 1, since: now}
		}
	}
	for id := range r.progress {
		if id != r.cfg.ID && r.peer(id) == nil {
			delete(r.progress, id)
		}
	}
}
