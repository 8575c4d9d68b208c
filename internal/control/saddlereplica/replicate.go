package saddlereplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Step takes in a message of another replica.
func (r *Replica) Step(now time.Time, m *saddlewire.Message) {
	if r.err != nil || m.GetTo() != r.cfg.ID {
		return
	}
	if r.blank() && !r.stepBlank(m) {
		return
	}
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
	case saddlewire.Message_SNAPSHOT_REPLY:
		r.onSnapshotReply(now, m)
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
		if m.GetType() == saddlewire.Message_VOTE && (r.withholdsVotes(now) || r.LeaseValid(now)) {
			return true // a leader's lease rests on this refusal
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

// broadcast sends each replica a heartbeat, with entries where there are any
// and none are under way.
func (r *Replica) broadcast(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID {
			r.sendAppend(now, p.GetId())
		}
	}
}

// replicate sends new entries to the replicas that wait for none.
func (r *Replica) replicate(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID && !r.progress[p.GetId()].waiting(now, r.resendAfter()) {
			r.sendAppend(now, p.GetId())
		}
	}
}

// resendAfter is how long a message with entries may be under way.
func (r *Replica) resendAfter() time.Duration { return r.cfg.ElectionTimeout / 2 }

func (r *Replica) sendAppend(now time.Time, id string) {
	p := r.progress[id]
	waiting := p.waiting(now, r.resendAfter())
	if p.next <= r.log.base {
		if !waiting {
			r.sendSnapshot(now, id, p)
			return
		}
		r.sendEntries(now, id, r.log.base, nil) // heartbeat
		return
	}
	before := p.next - 1
	var entries []*saddlewire.LogEntry
	if !waiting {
		entries = r.batch(before)
	}
	if len(entries) > 0 {
		p.sent = now
	}
	r.sendEntries(now, id, before, entries)
}

func (r *Replica) sendEntries(now time.Time, id string, before uint64, entries []*saddlewire.LogEntry) {
	term, _ := r.log.term(before)
	r.send(&saddlewire.Message{
		Type:      saddlewire.Message_APPEND,
		To:        id,
		Index:     before,
		LogTerm:   term,
		Commit:    r.commit,
		Entries:   entries,
		SentNs:    now.UnixNano(),
		Confirmed: r.LeaseValid(now),
		EchoNs:    r.progress[id].echoNs,
		Learner:   !r.isVoter(id),
	})
}

// batch returns entries after an index, as many as one message may carry.
func (r *Replica) batch(after uint64) []*saddlewire.LogEntry {
	entries := r.log.slice(after, min(r.log.last(), after+maxBatch))
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if i > 0 && size > r.cfg.messageBytes() {
			return slices.Clone(entries[:i])
		}
	}
	return slices.Clone(entries)
}

// followLeader notes that the term's leader was heard.
func (r *Replica) followLeader(now time.Time, leader string) {
	if r.role != Follower || r.leader != leader {
		r.become(now, Follower, r.term, leader)
	}
	r.guard = now
	r.resetElection(now)
}

func (r *Replica) onAppend(now time.Time, m *saddlewire.Message) {
	r.followLeader(now, m.GetFrom())
	r.noteConfirmed(now, m)
	reply := &saddlewire.Message{
		Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), SentNs: m.GetSentNs(), EchoNs: now.UnixNano(),
	}
	if m.GetIndex() < r.commit {
		reply.Index = r.commit // all up to the commit index is known to agree
		r.send(reply)
		return
	}
	if term, ok := r.log.term(m.GetIndex()); !ok || term != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = r.hint(m.GetIndex())
		r.send(reply)
		return
	}
	r.store(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	r.commit = max(r.commit, min(m.GetCommit(), reply.GetIndex()))
	r.send(reply)
}

// hint returns where the log may agree with a leader whose entry at an index
// differs: the end of the log, or before all entries of the differing term.
func (r *Replica) hint(index uint64) uint64 {
	term, ok := r.log.term(index)
	if !ok {
		return r.log.last()
	}
	for index > r.commit {
		if t, _ := r.log.term(index); t != term {
			break
		}
		index--
	}
	return index
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
		r.useMembership()
		return
	}
}

func (r *Replica) onAppendReply(now time.Time, m *saddlewire.Message) {
	p, ok := r.progress[m.GetFrom()]
	if r.role != Leader || !ok {
		return
	}
	p.noteAck(m.GetSentNs())
	p.echoNs = m.GetEchoNs()
	if m.GetReject() {
		r.onReject(now, m, p)
		return
	}
	if m.GetIndex() > p.match {
		p.match = m.GetIndex()
		p.sent = time.Time{}
		p.snapshot = nil
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if r.role == Leader && p.next <= r.log.last() && !p.waiting(now, r.resendAfter()) {
		r.sendAppend(now, m.GetFrom())
	}
}

// onReject goes back to where the logs may agree. A replica without a vote may
// have lost its disk and then starts again; the match of a voter stays.
func (r *Replica) onReject(now time.Time, m *saddlewire.Message, p *progress) {
	if p.snapshot != nil && p.waiting(now, r.resendAfter()) {
		return
	}
	if m.GetHint() < p.match && !r.isVoter(m.GetFrom()) {
		p.match = m.GetHint()
	}
	next := max(p.match+1, min(p.next-1, m.GetHint()+1))
	if next == p.next {
		return
	}
	p.next = next
	p.sent = time.Time{}
	r.sendAppend(now, m.GetFrom())
}

func (p *progress) noteAck(sentNs int64) {
	if sent := time.Unix(0, sentNs); sent.After(p.acked) {
		p.acked = sent
	}
}

// advanceCommit commits what a majority stored; only entries of this term
// count, those before them follow.
func (r *Replica) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(r.progress))
	for id, p := range r.progress {
		if r.isVoter(id) {
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	term, _ := r.log.term(index)
	if index <= r.commit || term != r.term {
		return
	}
	r.commit = index
	r.broadcast(now)
	if r.membersIndex <= r.commit && r.peer(r.cfg.ID) == nil {
		r.become(now, Follower, r.term, "") // this replica was removed
	}
}
