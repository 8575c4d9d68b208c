package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// preCampaign asks whether the others would vote, without raising the term.
func (r *Replica) preCampaign(now time.Time) {
	if !slices.Contains(r.cfg.Voters, r.cfg.ID) {
		r.resetElection(now)
		return
	}
	r.become(now, PreCandidate, r.term, "")
	r.votes = map[string]bool{r.cfg.ID: true}
	if len(r.votes) >= r.quorum() {
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
	if len(r.votes) >= r.quorum() {
		r.lead(now)
		return
	}
	r.askVotes(saddlewire.Message_VOTE, r.term)
}

func (r *Replica) askVotes(kind saddlewire.Message_Type, term uint64) {
	last := r.log.last()
	lastTerm, _ := r.log.term(last)
	for _, id := range r.cfg.Voters {
		if id == r.cfg.ID {
			continue
		}
		r.send(&saddlewire.Message{Type: kind, To: id, Term: term, Index: last, LogTerm: lastTerm})
	}
}

// lead starts the term with an empty entry, so that entries of earlier terms
// can be committed.
func (r *Replica) lead(now time.Time) {
	r.become(now, Leader, r.term, r.cfg.ID)
	r.heardFrom = now
	r.progress = make(map[string]*progress, len(r.cfg.Voters))
	for _, id := range r.cfg.Voters {
		r.progress[id] = &progress{next: r.log.last() + 1}
	}
	r.append(nil)
	r.broadcast(now)
	r.deadline = now.Add(r.cfg.Heartbeat)
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
	leaderHeard := r.role == Leader || (r.leader != "" && now.Sub(r.heardFrom) < r.cfg.Election)
	grant := m.GetTerm() > r.term && !leaderHeard && r.logAtLeast(m.GetIndex(), m.GetLogTerm())
	reply := &saddlewire.Message{Type: saddlewire.Message_PRE_VOTE_REPLY, To: m.GetFrom(), Term: m.GetTerm(), Reject: !grant}
	if !grant {
		reply.Term = r.term
	}
	r.send(reply)
}

func (r *Replica) onPreVoteReply(now time.Time, m *saddlewire.Message) {
	if r.role != PreCandidate || m.GetReject() || m.GetTerm() != r.term+1 {
		return
	}
	r.votes[m.GetFrom()] = true
	if len(r.votes) >= r.quorum() {
		r.campaign(now)
	}
}

func (r *Replica) onVote(now time.Time, m *saddlewire.Message) {
	free := r.vote == "" || r.vote == m.GetFrom()
	grant := free && r.leader == "" && r.logAtLeast(m.GetIndex(), m.GetLogTerm())
	if grant {
		r.vote = m.GetFrom()
		r.saveHard()
		r.resetElection(now)
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_VOTE_REPLY, To: m.GetFrom(), Reject: !grant})
}

func (r *Replica) onVoteReply(now time.Time, m *saddlewire.Message) {
	if r.role != Candidate || m.GetReject() {
		return
	}
	r.votes[m.GetFrom()] = true
	if len(r.votes) >= r.quorum() {
		r.lead(now)
	}
}
