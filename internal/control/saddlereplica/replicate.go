package saddlereplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Step processes a message from another replica.
func (r *Replica) Step(now time.Time, m *saddlewire.Message) {
	if r.err != nil || m.GetTo() != r.cfg.ID {
		return
	}
	if r.hasNoPersistedState() && !r.acceptsWithoutState(m) {
		return
	}
	if r.handleTerm(now, m) {
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

// handleTerm adopts a higher term and reports whether the message must be
// dropped.
func (r *Replica) handleTerm(now time.Time, m *saddlewire.Message) bool {
	switch {
	case m.GetType() == saddlewire.Message_PRE_VOTE:
		return false
	case m.GetType() == saddlewire.Message_PRE_VOTE_REPLY && !m.GetReject():
		return false
	case m.GetTerm() > r.term:
		if m.GetType() == saddlewire.Message_VOTE && (r.withholdsVotes(now) || r.LeaseValid(now)) {
			return true // a leader's lease may depend on this refusal
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

// broadcast sends each replica a heartbeat, which carries new entries if none are
// in flight.
func (r *Replica) broadcast(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID {
			r.sendAppend(now, p.GetId())
		}
	}
}

// replicate sends new entries to the replicas that have none in flight.
func (r *Replica) replicate(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID && !r.progress[p.GetId()].inFlight(now, r.resendTimeout()) {
			r.sendAppend(now, p.GetId())
		}
	}
}

// resendTimeout is the time after which unacknowledged entries are sent again.
func (r *Replica) resendTimeout() time.Duration { return r.cfg.ElectionTimeout / 2 }

func (r *Replica) sendAppend(now time.Time, id string) {
	p := r.progress[id]
	inFlight := p.inFlight(now, r.resendTimeout())
	if p.next <= r.log.base {
		if !inFlight {
			r.sendSnapshot(now, id, p)
			return
		}
		r.sendEntries(now, id, r.log.base, nil) // heartbeat
		return
	}
	prevIndex := p.next - 1
	var entries []*saddlewire.LogEntry
	if !inFlight {
		entries = r.batch(prevIndex)
	}
	if len(entries) > 0 {
		p.sentAt = now
	}
	r.sendEntries(now, id, prevIndex, entries)
}

func (r *Replica) sendEntries(now time.Time, id string, prevIndex uint64, entries []*saddlewire.LogEntry) {
	term, _ := r.log.term(prevIndex)
	r.send(&saddlewire.Message{
		Type:      saddlewire.Message_APPEND,
		To:        id,
		Index:     prevIndex,
		LogTerm:   term,
		Commit:    r.commit,
		Entries:   entries,
		SentNs:    now.UnixNano(),
		Confirmed: r.LeaseValid(now),
		EchoNs:    r.progress[id].echoNs,
		Learner:   !r.isVoter(id),
	})
}

// batch returns the entries after an index that fit in one message.
func (r *Replica) batch(after uint64) []*saddlewire.LogEntry {
	entries := r.log.slice(after, min(r.log.last(), after+maxEntriesPerMessage))
	size := 0
	for i, e := range entries {
		size += proto.Size(e)
		if i > 0 && size > r.cfg.messageBytes() {
			return slices.Clone(entries[:i])
		}
	}
	return slices.Clone(entries)
}

// acceptLeader follows the leader of the current term and resets the election
// timeout.
func (r *Replica) acceptLeader(now time.Time, leader string) {
	if r.role != Follower || r.leader != leader {
		r.become(now, Follower, r.term, leader)
	}
	r.lastLeaderContact = now
	r.resetElection(now)
}

func (r *Replica) onAppend(now time.Time, m *saddlewire.Message) {
	r.acceptLeader(now, m.GetFrom())
	r.recordConfirmation(now, m)
	reply := &saddlewire.Message{
		Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), SentNs: m.GetSentNs(), EchoNs: now.UnixNano(),
	}
	if m.GetIndex() < r.commit {
		reply.Index = r.commit // entries up to the commit index match the leader's
		r.send(reply)
		return
	}
	if term, ok := r.log.term(m.GetIndex()); !ok || term != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = r.conflictHint(m.GetIndex())
		r.send(reply)
		return
	}
	r.mergeEntries(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	r.commit = max(r.commit, min(m.GetCommit(), reply.GetIndex()))
	r.send(reply)
}

// conflictHint returns an index at which the log may match that of a leader whose
// entry at the given index differs: the end of the log, or the index before all
// entries of the conflicting term.
func (r *Replica) conflictHint(index uint64) uint64 {
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

// mergeEntries appends a leader's entries and replaces conflicting ones.
func (r *Replica) mergeEntries(entries []*saddlewire.LogEntry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.GetIndex()); ok && term == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= r.log.last() {
			r.log.truncate(e.GetIndex())
		}
		r.log.entries = append(r.log.entries, entries[i:]...)
		r.ready.Entries = append(r.ready.Entries, entries[i:]...)
		r.refreshMembership()
		return
	}
}

func (r *Replica) onAppendReply(now time.Time, m *saddlewire.Message) {
	p, ok := r.progress[m.GetFrom()]
	if r.role != Leader || !ok {
		return
	}
	p.recordAck(m.GetSentNs())
	p.echoNs = m.GetEchoNs()
	if m.GetReject() {
		r.onReject(now, m, p)
		return
	}
	if m.GetIndex() > p.match {
		p.match = m.GetIndex()
		p.sentAt = time.Time{}
		p.snapshot = nil
	}
	p.next = max(p.next, p.match+1)
	r.advanceCommit(now)
	if r.role == Leader && p.next <= r.log.last() && !p.inFlight(now, r.resendTimeout()) {
		r.sendAppend(now, m.GetFrom())
	}
}

// onReject lowers the next index to one at which the logs may match. The match
// index of a learner may decrease, because it may restart from an empty log after a
// disk loss; that of a voter never does.
func (r *Replica) onReject(now time.Time, m *saddlewire.Message, p *progress) {
	if p.snapshot != nil && p.inFlight(now, r.resendTimeout()) {
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
	p.sentAt = time.Time{}
	r.sendAppend(now, m.GetFrom())
}

func (p *progress) recordAck(sentNs int64) {
	if sent := time.Unix(0, sentNs); sent.After(p.lastAckedSend) {
		p.lastAckedSend = sent
	}
}

// advanceCommit commits the entries that a majority stored. Only an entry of the
// current term is committed by counting replicas; it commits all entries before
// it.
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
