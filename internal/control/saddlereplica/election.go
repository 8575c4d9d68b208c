package saddlereplica

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// preCampaign asks whether the others would vote, without raising the term.
func (r *Replica) preCampaign(now time.Time) {
	if !r.isVoter(r.cfg.ID) {
		r.resetElection(now)
		return
	}
	r.become(now, PreCandidate, r.term, "")
	r.votes = map[string]bool{r.cfg.ID: true}
	if r.elected() {
		r.campaign(now)
		return
	}
	r.askVotes(saddlewire.Message_PRE_VOTE, r.term+1)
}

func (r *Replica) campaign(now time.Time) {
	r.become(now, Candidate, r.term+1, "")
	r.vote = r.cfg.ID
	r.saveHard()
	r.votes = map[string]bool{r.cfg.ID: true}
	if r.elected() {
		r.lead(now)
		return
	}
	r.askVotes(saddlewire.Message_VOTE, r.term)
}

// elected reports whether the votes suffice: those of a majority, or of all
// while the log is empty. A new group thus starts with all its replicas, and
// replicas that lost their disks cannot start another one.
func (r *Replica) elected() bool {
	if r.log.last() == 0 {
		return len(r.votes) == r.voters()
	}
	return len(r.votes) >= r.quorum()
}

func (r *Replica) askVotes(kind saddlewire.Message_Type, term uint64) {
	last := r.log.last()
	lastTerm, _ := r.log.term(last)
	for _, p := range r.Members() {
		if p.GetId() == r.cfg.ID || !p.GetVoter() {
			continue
		}
		r.send(&saddlewire.Message{Type: kind, To: p.GetId(), Term: term, Index: last, LogTerm: lastTerm})
	}
}

// lead starts the term with an entry, so that entries of earlier terms can be
// committed. The first of all records the membership.
func (r *Replica) lead(now time.Time) {
	r.become(now, Leader, r.term, r.cfg.ID)
	r.ledSince = now
	r.progress = make(map[string]*progress, len(r.Members()))
	for _, p := range r.Members() {
		r.progress[p.GetId()] = &progress{next: r.log.last() + 1, since: now}
	}
	first := &saddlewire.LogEntry{}
	if r.log.last() == 0 {
		first.Membership = r.cloneMembers()
	}
	r.append(first)
	r.followMembers(now)
	r.broadcast(now)
	r.deadline = now.Add(r.cfg.HeartbeatInterval)
}

// logAtLeast reports whether a log that ends so is no older than this one.
func (r *Replica) logAtLeast(index, term uint64) bool {
	last := r.log.last()
	lastTerm, _ := r.log.term(last)
	if term != lastTerm {
		return term > lastTerm
	}
	return index >= last
}

func (r *Replica) onPreVote(now time.Time, m *saddlewire.Message) {
	grant := m.GetTerm() > r.term && r.role != Leader && !r.withholdsVotes(now) &&
		r.logAtLeast(m.GetIndex(), m.GetLogTerm())
	reply := &saddlewire.Message{
		Type: saddlewire.Message_PRE_VOTE_REPLY, To: m.GetFrom(), Term: m.GetTerm(), Index: r.log.last(), Reject: !grant,
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
	if r.elected() {
		r.campaign(now)
	}
}

func (r *Replica) onVote(now time.Time, m *saddlewire.Message) {
	free := r.vote == "" || r.vote == m.GetFrom()
	grant := free && r.leader == "" && !r.withholdsVotes(now) && r.logAtLeast(m.GetIndex(), m.GetLogTerm())
	if grant {
		r.vote = m.GetFrom()
		r.saveHard()
		r.resetElection(now)
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (r *Replica) onVoteReply(now time.Time, m *saddlewire.Message) {
	if r.role != Candidate || m.GetReject() || !r.isVoter(m.GetFrom()) {
		return
	}
	r.votes[m.GetFrom()] = true
	if r.elected() {
		r.lead(now)
	}
}
