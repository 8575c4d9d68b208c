package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// hasNoPersistedState reports whether the store never held a term, a vote or
// an entry.
func (r *Replica) hasNoPersistedState() bool {
	return r.term == 0 && r.votedFor == "" && r.log.lastIndex() == 0
}

// acceptsWithoutState reports whether a replica with an empty store may process a
// message, and stops the replica if the message shows that its disk was lost. In a
// new group every log is empty, so an initial member that receives a message about
// existing entries has lost its disk. A joining replica does not vote. It accepts
// entries or a snapshot only from a leader that lists it as a learner. If the leader
// lists it as a voter, it joined before and has lost its disk.
func (r *Replica) acceptsWithoutState(m *saddlewire.Message) bool {
	joining := findPeer(r.cfg.Members, r.cfg.ID) == nil
	switch m.GetType() {
	case saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE:
		if m.GetIndex() > 0 {
			r.reportDiskLoss(joining)
			return false
		}
		return !joining
	case saddlewire.Message_PRE_VOTE_REPLY:
		if m.GetReject() && m.GetIndex() > 0 {
			r.reportDiskLoss(joining)
		}
		return !m.GetReject()
	case saddlewire.Message_APPEND, saddlewire.Message_SNAPSHOT:
		if joining && m.GetLearner() {
			return true
		}
		r.reportDiskLoss(false)
	}
	return false
}

// reportDiskLoss stops the replica with a DiskLostError, unless mayBeEmpty is set.
// The store of a joining replica may be empty, because it has stored nothing before.
func (r *Replica) reportDiskLoss(mayBeEmpty bool) {
	if !mayBeEmpty {
		r.err = &DiskLostError{ID: r.cfg.ID}
	}
}
