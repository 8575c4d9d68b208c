package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// startPreVote asks the other voters whether they would grant a vote in the next
// term. It does not increment the term. A replica that is not a voter only resets
// its election timeout.
func (r *Replica) startPreVote(now time.Time) {
	if !r.isVoter(r.cfg.ID) {
		r.resetElectionTimeout(now)
		return
	}
	r.become(now, PreCandidate, r.term, "")
	r.votes = map[string]bool{r.cfg.ID: true}
	if r.hasEnoughVotes() {
		r.startElection(now)
		return
	}
	r.requestVotes(saddlewire.Message_PRE_VOTE, r.term+1)
}

func (r *Replica) startElection(now time.Time) {
	r.become(now, Candidate, r.term+1, "")
	r.votedFor = r.cfg.ID
	r.saveHardState()
	r.votes = map[string]bool{r.cfg.ID: true}
	if r.hasEnoughVotes() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(saddlewire.Message_VOTE, r.term)
}

// hasEnoughVotes reports whether the candidate has the votes of a majority, or
// of all voters while its log is empty. Requiring all voters prevents a majority
// of replicas with lost disks from forming a second group.
func (r *Replica) hasEnoughVotes() bool {
	if r.log.lastIndex() == 0 {
		return len(r.votes) == r.voterCount()
	}
	return len(r.votes) >= r.quorum()
}

func (r *Replica) requestVotes(kind saddlewire.Message_Type, term uint64) {
	last := r.log.lastIndex()
	lastTerm, _ := r.log.term(last)
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !p.GetVoter() {
			continue
		}
		r.send(&saddlewire.Message{Type: kind, To: p.GetId(), Term: term, Index: last, LogTerm: lastTerm})
	}
}

// becomeLeader changes the role to leader and appends an entry of the new term, so
// that entries of earlier terms can be committed. The first entry of a log records
// the membership.
func (r *Replica) becomeLeader(now time.Time) {
	r.become(now, Leader, r.term, r.cfg.ID)
	r.leaderSince = now
	r.progress = make(map[string]*progress, len(r.Members()))
	for _, p := range r.Members() {
		r.progress[p.GetId()] = &progress{nextIndex: r.log.lastIndex() + 1, trackedSince: now}
	}
	entry := &saddlewire.LogEntry{}
	if r.log.lastIndex() == 0 {
		entry.Membership = r.cloneMembership()
	}
	r.appendEntry(entry)
	r.refreshMembershipAndProgress(now)
	r.broadcast(now)
	r.nextTick = now.Add(r.cfg.HeartbeatInterval)
}

// isUpToDate reports whether a log whose last entry has this index and term is
// at least as up-to-date as this replica's log.
func (r *Replica) isUpToDate(index, term uint64) bool {
	last := r.log.lastIndex()
	lastTerm, _ := r.log.term(last)
	if term != lastTerm {
		return term > lastTerm
	}
	return index >= last
}

func (r *Replica) onPreVote(now time.Time, m *saddlewire.Message) {
	grant := m.GetTerm() > r.term && r.role != Leader && !r.withholdsVotes(now) &&
		r.isUpToDate(m.GetIndex(), m.GetLogTerm())
	reply := &saddlewire.Message{
		Type: saddlewire.Message_PRE_VOTE_REPLY, To: m.GetFrom(), Term: m.GetTerm(), Index: r.log.lastIndex(), Reject: !grant,
	}
	if !grant {
		reply.Term = r.term
	}
	r.send(reply)
}

func (r *Replica) onPreVoteReply(now time.Time, m *saddlewire.Message) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 || !r.isVoter(m.GetFrom()) {
		return
	}
	r.votes[m.GetFrom()] = true
	if r.hasEnoughVotes() {
		r.startElection(now)
	}
}

func (r *Replica) onVote(now time.Time, m *saddlewire.Message) {
	voteAvailable := r.votedFor == "" || r.votedFor == m.GetFrom()
	grant := voteAvailable && r.leader == "" && !r.withholdsVotes(now) && r.isUpToDate(m.GetIndex(), m.GetLogTerm())
	if grant {
		r.votedFor = m.GetFrom()
		r.saveHardState()
		r.resetElectionTimeout(now)
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (r *Replica) onVoteReply(now time.Time, m *saddlewire.Message) {
	if r.role != Candidate || m.GetReject() || !r.isVoter(m.GetFrom()) {
		return
	}
	r.votes[m.GetFrom()] = true
	if r.hasEnoughVotes() {
		r.becomeLeader(now)
	}
}
