package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// LeaseValid reports whether this leader may serve reads from its applied state.
// A majority must have answered messages sent less than nine tenths of an
// election timeout ago, and an entry of the leader's own term must be applied.
// The lease is safe because a replica that answered grants no vote for a whole
// election timeout.
func (r *Replica) LeaseValid(now time.Time) bool {
	if r.role != Leader {
		return false
	}
	appliedTerm, _ := r.log.term(r.lastApplied)
	return appliedTerm == r.term && r.hasRecentQuorum(now)
}

// hasRecentQuorum reports whether a majority answered messages sent within the
// lease duration. A leader that is the only voter needs no answers.
func (r *Replica) hasRecentQuorum(now time.Time) bool {
	if r.voterCount() == 1 && r.isVoter(r.cfg.ID) {
		return true
	}
	return now.Sub(r.lastQuorumContact()) < r.leaseDuration()
}

// lastQuorumContact returns the latest time for which a majority answered a message
// sent at that time or later. The leader counts as one of the majority if it is a
// voter. The result is the zero time if a majority needs no other replica or has not
// answered.
func (r *Replica) lastQuorumContact() time.Time {
	others := make([]time.Time, 0, len(r.progress))
	for id, p := range r.progress {
		if id != r.cfg.ID && r.isVoter(id) {
			others = append(others, p.lastAckedSend)
		}
	}
	needed := r.quorum()
	if r.isVoter(r.cfg.ID) {
		needed--
	}
	if needed < 1 || len(others) < needed {
		return time.Time{}
	}
	slices.SortFunc(others, func(a, b time.Time) int { return b.Compare(a) })
	return others[needed-1]
}

// leaseDuration is shorter than the election timeout by a tenth, as a margin for
// clock drift.
func (r *Replica) leaseDuration() time.Duration {
	return r.cfg.ElectionTimeout * 9 / 10
}

// lostQuorum reports whether the leader must step down, because no majority answered
// messages that it sent within the last election timeout. It is false until the
// leader has led for an election timeout.
func (r *Replica) lostQuorum(now time.Time) bool {
	if r.voterCount() == 1 && r.isVoter(r.cfg.ID) {
		return false
	}
	contact := r.lastQuorumContact()
	if contact.Before(r.leaderSince) {
		contact = r.leaderSince
	}
	return now.Sub(contact) > r.cfg.ElectionTimeout
}

// withholdsVotes reports whether this replica must refuse its vote, because a
// leader's lease may depend on the refusal. It must refuse votes for one election
// timeout after contact with a leader of any term. It must also refuse them for one
// election timeout after a start, because contact before a restart is not persisted.
func (r *Replica) withholdsVotes(now time.Time) bool {
	return now.Sub(r.lastLeaderContact) < r.cfg.ElectionTimeout
}

// Confirmed reports whether the applied state was confirmed by a majority less
// than an election timeout ago. A leader's state is confirmed by its lease. The
// state of any other replica is confirmed by a message from a leader that held its
// lease, once the replica has applied the entries up to the commit index in that
// message.
func (r *Replica) Confirmed(now time.Time) bool {
	if r.role == Leader {
		return r.LeaseValid(now)
	}
	return !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) < r.cfg.ElectionTimeout && r.lastApplied >= r.confirmedIndex
}

// recordConfirmation records that a leader with a valid lease confirmed its
// commit index. The confirmation dates from the latest reply of this replica
// that the leader had received, not from the arrival of the message. A message
// delayed in the network or by a paused process thus confirms no newer state.
func (r *Replica) recordConfirmation(now time.Time, m *saddlewire.Message) {
	at := time.Unix(0, m.GetEchoNs())
	if !m.GetConfirmed() || m.GetEchoNs() == 0 || at.After(now) || at.Before(r.confirmedAt) {
		return
	}
	r.confirmedAt = at
	r.confirmedIndex = max(r.confirmedIndex, m.GetCommit())
}
