package saddlereplica

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// blank reports whether the store never held anything.
func (r *Replica) blank() bool {
	return r.term == 0 && r.vote == "" && r.log.last() == 0
}

// stepBlank decides whether a replica with an empty store may take in a
// message. A voter of a new group hears of empty logs only; one that hears of
// entries has lost its disk. A replica that joins hears of entries only from a
// leader that counts it among those without a vote.
func (r *Replica) stepBlank(m *saddlewire.Message) bool {
	joins := find(r.cfg.Members, r.cfg.ID) == nil
	switch m.GetType() {
	case saddlewire.Message_PRE_VOTE, saddlewire.Message_VOTE:
		if m.GetIndex() > 0 {
			r.loseDisk(joins)
			return false
		}
		return !joins
	case saddlewire.Message_PRE_VOTE_REPLY:
		if m.GetReject() && m.GetIndex() > 0 {
			r.loseDisk(joins)
		}
		return !m.GetReject()
	case saddlewire.Message_APPEND, saddlewire.Message_SNAPSHOT:
		if joins && m.GetLearner() {
			return true
		}
		r.loseDisk(false)
	}
	return false
}

// loseDisk stops the replica, unless it joins and has nothing to lose.
func (r *Replica) loseDisk(joins bool) {
	if !joins {
		r.err = &DiskLostError{ID: r.cfg.ID}
	}
}
