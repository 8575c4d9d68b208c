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

// handleTerm compares the term of a message with the current term and reports
// whether the message must be dropped. It adopts a higher term and answers a leader
// of an earlier term with a rejection. It does not adopt the term of a PRE_VOTE or
// of a reply that grants a pre-vote, because that is the term of a possible
// election. A VOTE with a higher term is dropped, and its term is not adopted, while
// this replica must refuse its vote or holds the lease.
func (r *Replica) handleTerm(now time.Time, m *saddlewire.Message) bool {
	switch {
	case m.GetType() == saddlewire.Message_PRE_VOTE:
		return false
	case m.GetType() == saddlewire.Message_PRE_VOTE_REPLY && !m.GetReject():
		return false
	case m.GetTerm() > r.term:
		if m.GetType() == saddlewire.Message_VOTE && (r.withholdsVotes(now) || r.LeaseValid(now)) {
			return true // a leader's lease may depend on this replica's refusal to vote
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

// broadcast sends an APPEND message to each replica as a heartbeat. If neither
// entries nor a snapshot chunk are in flight to the replica, the message also
// carries new entries. If these were compacted, a snapshot chunk is sent instead.
func (r *Replica) broadcast(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID {
			r.sendAppend(now, p.GetId())
		}
	}
}

// replicate sends new entries, or a snapshot chunk if they were compacted, to each
// replica to which neither entries nor a snapshot chunk are in flight.
func (r *Replica) replicate(now time.Time) {
	for _, p := range r.Members() {
		if p.GetId() != r.cfg.ID && !r.progress[p.GetId()].inFlight(now, r.resendTimeout()) {
			r.sendAppend(now, p.GetId())
		}
	}
}

// resendTimeout is the time after which unacknowledged entries or snapshot chunks
// are sent again.
func (r *Replica) resendTimeout() time.Duration { return r.cfg.ElectionTimeout / 2 }

// sendAppend sends the next entries to a replica, or a snapshot chunk if the next
// entry was compacted. While entries or a chunk are in flight to the replica, it
// sends only a heartbeat.
func (r *Replica) sendAppend(now time.Time, id string) {
	p := r.progress[id]
	inFlight := p.inFlight(now, r.resendTimeout())
	if p.nextIndex <= r.log.snapshotIndex {
		if !inFlight {
			r.sendSnapshot(now, id, p)
			return
		}
		r.sendEntries(now, id, r.log.snapshotIndex, nil) // heartbeat
		return
	}
	prevIndex := p.nextIndex - 1
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
		Commit:    r.commitIndex,
		Entries:   entries,
		SentNs:    now.UnixNano(),
		Confirmed: r.LeaseValid(now),
		EchoNs:    r.progress[id].echoNs,
		Learner:   !r.isVoter(id),
	})
}

// batch returns as many of the entries after an index as fit in one message, but
// at least one if there is any.
func (r *Replica) batch(after uint64) []*saddlewire.LogEntry {
	entries := r.log.slice(after, min(r.log.lastIndex(), after+maxEntriesPerMessage))
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
	r.resetElectionTimeout(now)
}

func (r *Replica) onAppend(now time.Time, m *saddlewire.Message) {
	r.acceptLeader(now, m.GetFrom())
	r.recordConfirmation(now, m)
	reply := &saddlewire.Message{
		Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), SentNs: m.GetSentNs(), EchoNs: now.UnixNano(),
	}
	if m.GetIndex() < r.commitIndex {
		reply.Index = r.commitIndex // entries up to the commit index match the leader's
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
	r.commitIndex = max(r.commitIndex, min(m.GetCommit(), reply.GetIndex()))
	r.send(reply)
}

// conflictHint returns the index at which the leader should look next for a match,
// after its entry at the given index did not match this replica's log. If the log
// has no entry at that index, the hint is the last index. Otherwise the hint is the
// index before the first entry of the conflicting term, or the commit index if that
// is higher.
func (r *Replica) conflictHint(index uint64) uint64 {
	term, ok := r.log.term(index)
	if !ok {
		return r.log.lastIndex()
	}
	for index > r.commitIndex {
		if t, _ := r.log.term(index); t != term {
			break
		}
		index--
	}
	return index
}

// mergeEntries adds a leader's entries to the log. If an entry in the log conflicts
// with one of them, it and all later entries in the log are replaced.
func (r *Replica) mergeEntries(entries []*saddlewire.LogEntry) {
	for i, e := range entries {
		if term, ok := r.log.term(e.GetIndex()); ok && term == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= r.log.lastIndex() {
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
	if m.GetIndex() > p.matchIndex {
		p.matchIndex = m.GetIndex()
		p.sentAt = time.Time{}
		p.snapshot = nil
	}
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	r.advanceCommit(now)
	if r.role == Leader && p.nextIndex <= r.log.lastIndex() && !p.inFlight(now, r.resendTimeout()) {
		r.sendAppend(now, m.GetFrom())
	}
}

// onReject lowers the replica's next index, so that the next APPEND follows an
// index at which the logs may match. The match index of a voter never decreases.
// The match index of a learner may decrease, because a learner may restart with an
// empty log after a disk loss.
func (r *Replica) onReject(now time.Time, m *saddlewire.Message, p *progress) {
	if p.snapshot != nil && p.inFlight(now, r.resendTimeout()) {
		return
	}
	if m.GetHint() < p.matchIndex && !r.isVoter(m.GetFrom()) {
		p.matchIndex = m.GetHint()
	}
	next := max(p.matchIndex+1, min(p.nextIndex-1, m.GetHint()+1))
	if next == p.nextIndex {
		return
	}
	p.nextIndex = next
	p.sentAt = time.Time{}
	r.sendAppend(now, m.GetFrom())
}

// recordAck records that the replica answered a message that was sent at the given
// time.
func (p *progress) recordAck(sentNs int64) {
	if sent := time.Unix(0, sentNs); sent.After(p.lastAckedSend) {
		p.lastAckedSend = sent
	}
}

// advanceCommit commits the entries that a majority of the voters stored. Only an
// entry of the current term is committed by counting replicas; all entries before
// it are committed with it.
func (r *Replica) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(r.progress))
	for id, p := range r.progress {
		if r.isVoter(id) {
			matches = append(matches, p.matchIndex)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	term, _ := r.log.term(index)
	if index <= r.commitIndex || term != r.term {
		return
	}
	r.commitIndex = index
	r.broadcast(now)
	if r.membershipIndex <= r.commitIndex && r.peer(r.cfg.ID) == nil {
		r.become(now, Follower, r.term, "") // this replica was removed
	}
}
