package saddlereplica

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Step takes in a message of another replica.
func (r *Replica) Step(now time.Time, m *saddlewire.Message) {
	if r.staleOrDisruptive(now, m) {
		return
	}
	switch m.GetType() {
	case saddlewire.Message_PRE_VOTE:
		r.onPreVote(now, m)
	case saddlewire.Message_PRE_VOTE_REPLY:
		r.onPreVoteReply(now, m)
	case saddlewire.Message_VOTE:
		r.onVote(now, m)
	case saddlewire.Message_VOTE_REPLY:
		r.onVoteReply(now, m)
	case saddlewire.Message_APPEND:
		r.onAppend(now, m)
	case saddlewire.Message_APPEND_REPLY:
		r.onAppendReply(now, m)
	case saddlewire.Message_SNAPSHOT:
		r.onSnapshot(now, m)
	case saddlewire.Message_NONE:
	}
}

// staleOrDisruptive takes up a higher term and reports whether the message
// must be dropped.
func (r *Replica) staleOrDisruptive(now time.Time, m *saddlewire.Message) bool {
	switch {
	case m.GetType() == saddlewire.Message_PRE_VOTE:
		return false
	case m.GetType() == saddlewire.Message_PRE_VOTE_REPLY && !m.GetReject():
		return false
	case m.GetTerm() > r.term:
		heard := r.leader != "" && now.Sub(r.heardFrom) < r.cfg.Election
		if m.GetType() == saddlewire.Message_VOTE && heard && r.role != Leader {
			return true // the leader's lease rests on this refusal
		}
		r.become(now, Follower, m.GetTerm(), "")
		return false
	case m.GetTerm() < r.term:
		if m.GetType() == saddlewire.Message_APPEND || m.GetType() == saddlewire.Message_SNAPSHOT {
			r.send(&saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), Reject: true})
		}
		return true
	}
	return false
}

func (r *Replica) broadcast(now time.Time) {
	for _, id := range r.cfg.Voters {
		if id != r.cfg.ID {
			r.sendAppend(now, id)
		}
	}
}

func (r *Replica) sendAppend(now time.Time, id string) {
	p := r.progress[id]
	if p.next <= r.log.base {
		r.send(&saddlewire.Message{Type: saddlewire.Message_SNAPSHOT, To: id, Snapshot: r.snapshot, SentNs: now.UnixNano()})
		return
	}
	before := p.next - 1
	term, _ := r.log.term(before)
	through := min(r.log.last(), before+maxBatch)
	r.send(&saddlewire.Message{
		Type:    saddlewire.Message_APPEND,
		To:      id,
		Index:   before,
		LogTerm: term,
		Commit:  r.commit,
		Entries: slices.Clone(r.log.slice(before, through)),
		SentNs:  now.UnixNano(),
	})
}

// followLeader notes that the term's leader was heard.
func (r *Replica) followLeader(now time.Time, leader string) {
	if r.role != Follower || r.leader != leader {
		r.become(now, Follower, r.term, leader)
	}
	r.heardFrom = now
	r.resetElection(now)
}

func (r *Replica) onAppend(now time.Time, m *saddlewire.Message) {
	r.followLeader(now, m.GetFrom())
	reply := &saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), SentNs: m.GetSentNs()}
	if m.GetIndex() < r.commit {
		reply.Index = r.commit // all up to the commit index is known to agree
		r.send(reply)
		return
	}
	if term, ok := r.log.term(m.GetIndex()); !ok || term != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = min(r.log.last(), m.GetIndex()-1)
		r.send(reply)
		return
	}
	r.store(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	r.commit = max(r.commit, min(m.GetCommit(), reply.GetIndex()))
	r.send(reply)
}

// store adds a leader's entries, replacing those that differ.
func (r *Replica) store(entries []*saddlewire.LogEntry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.GetIndex()); ok && term == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= r.log.last() {
			r.log.truncate(e.GetIndex())
		}
		r.log.entries = append(r.log.entries, entries[i:]...)
		r.ready.Entries = append(r.ready.Entries, entries[i:]...)
		return
	}
}

func (r *Replica) onAppendReply(now time.Time, m *saddlewire.Message) {
	p, ok := r.progress[m.GetFrom()]
	if r.role != Leader || !ok {
		return
	}
	r.noteAck(p, m.GetSentNs())
	if m.GetReject() {
		p.next = max(p.match+1, min(p.next-1, m.GetHint()+1))
		r.sendAppend(now, m.GetFrom())
		return
	}
	p.match = max(p.match, m.GetIndex())
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if p.next <= r.log.last() {
		r.sendAppend(now, m.GetFrom())
	}
}

func (r *Replica) noteAck(p *progress, sentNs int64) {
	sent := time.Unix(0, sentNs)
	if sent.After(p.acked) {
		p.acked = sent
		r.heardFrom = sent
	}
}

// advanceCommit commits what a majority stored; only entries of this term
// count, those before them follow.
func (r *Replica) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(r.progress))
	for _, p := range r.progress {
		matches = append(matches, p.match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	term, _ := r.log.term(index)
	if index <= r.commit || term != r.term {
		return
	}
	r.commit = index
	r.broadcast(now)
}

func (r *Replica) onSnapshot(now time.Time, m *saddlewire.Message) {
	r.followLeader(now, m.GetFrom())
	s := m.GetSnapshot()
	if s.GetIndex() > r.commit {
		r.installSnapshot(s)
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), Index: r.commit, SentNs: m.GetSentNs()})
}

func (r *Replica) installSnapshot(s *saddlewire.Snapshot) {
	if term, ok := r.log.term(s.GetIndex()); ok && term == s.GetTerm() {
		r.log.compact(s.GetIndex(), s.GetTerm())
	} else {
		r.log = entryLog{base: s.GetIndex(), baseTerm: s.GetTerm()}
	}
	r.commit = s.GetIndex()
	r.applied = s.GetIndex()
	r.snapshot = s
	r.ready.Snapshot = s
}
