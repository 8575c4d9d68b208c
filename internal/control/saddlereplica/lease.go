package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// LeaseValid reports whether this leader may vouch for its applied state: a
// majority answered messages sent less than nine tenths of an election timeout
// ago, no replica that answered grants a vote for a whole one, and an entry of
// the leader's own term is applied.
func (r *Replica) LeaseValid(now time.Time) bool {
	if r.role != Leader {
		return false
	}
	applied, _ := r.log.term(r.applied)
	return applied == r.term && r.holdsMajority(now)
}

func (r *Replica) holdsMajority(now time.Time) bool {
	if r.voters() == 1 && r.isVoter(r.cfg.ID) {
		return true
	}
	return now.Sub(r.majorityHeard()) < r.leaseLength()
}

// majorityHeard returns the latest time such that a majority answered a message
// that was sent then or later.
func (r *Replica) majorityHeard() time.Time {
	others := make([]time.Time, 0, len(r.progress))
	for id, p := range r.progress {
		if id != r.cfg.ID && r.isVoter(id) {
			others = append(others, p.acked)
		}
	}
	need := r.quorum()
	if r.isVoter(r.cfg.ID) {
		need--
	}
	if need < 1 || len(others) < need {
		return time.Time{}
	}
	slices.SortFunc(others, func(a, b time.Time) int { return b.Compare(a) })
	return others[need-1]
}

// leaseLength leaves a tenth of the election timeout for clock drift.
func (r *Replica) leaseLength() time.Duration {
	return r.cfg.ElectionTimeout * 9 / 10
}

// lostMajority reports whether a leader has not heard a majority for an
// election timeout.
func (r *Replica) lostMajority(now time.Time) bool {
	if r.voters() == 1 && r.isVoter(r.cfg.ID) {
		return false
	}
	heard := r.majorityHeard()
	if heard.Before(r.ledSince) {
		heard = r.ledSince
	}
	return now.Sub(heard) > r.cfg.ElectionTimeout
}

// withholdsVotes reports whether some leader's lease may rest on this replica:
// it heard a leader less than an election timeout ago, in whatever term, or
// started so recently that it may have forgotten one.
func (r *Replica) withholdsVotes(now time.Time) bool {
	return now.Sub(r.guard) < r.cfg.ElectionTimeout
}

// Confirmed reports whether the applied state was confirmed by a majority less
// than an election timeout ago: at the leader by its lease, elsewhere by the
// word of a leader that held its lease.
func (r *Replica) Confirmed(now time.Time) bool {
	if r.role == Leader {
		return r.LeaseValid(now)
	}
	return !r.confirmedAt.IsZero() && now.Sub(r.confirmedAt) < r.cfg.ElectionTimeout && r.applied >= r.confirmedIndex
}

// noteConfirmed notes that a leader with a lease vouched for what it had
// committed. The time that counts is when this replica sent the answer that the
// leader had received by then, so that a message that was long under way, or
// waited while this process stood still, confirms nothing newer.
func (r *Replica) noteConfirmed(now time.Time, m *saddlewire.Message) {
	at := time.Unix(0, m.GetEchoNs())
	if !m.GetConfirmed() || m.GetEchoNs() == 0 || at.After(now) || at.Before(r.confirmedAt) {
		return
	}
	r.confirmedAt = at
	r.confirmedIndex = max(r.confirmedIndex, m.GetCommit())
}
