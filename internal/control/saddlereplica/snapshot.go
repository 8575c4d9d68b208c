package saddlereplica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// sendSnapshot sends the next chunk of the snapshot in transfer to a replica. If
// none is in transfer, it starts with the latest snapshot.
func (r *Replica) sendSnapshot(now time.Time, id string, p *progress) {
	if p.snapshot == nil {
		p.snapshot = r.snapshot
		p.snapshotOffset = 0
	}
	p.sentAt = now
	data := p.snapshot.GetData()
	end := min(uint64(len(data)), p.snapshotOffset+uint64(r.cfg.messageBytes()))
	r.send(&saddlewire.Message{
		Type: saddlewire.Message_SNAPSHOT,
		To:   id,
		Snapshot: &saddlewire.Snapshot{
			Index:      p.snapshot.GetIndex(),
			Term:       p.snapshot.GetTerm(),
			Membership: p.snapshot.GetMembership(),
			Data:       data[p.snapshotOffset:end],
		},
		Offset:  p.snapshotOffset,
		Size:    uint64(len(data)),
		SentNs:  now.UnixNano(),
		Learner: !r.isVoter(id),
	})
}

func (r *Replica) onSnapshotReply(now time.Time, m *saddlewire.Message) {
	p, ok := r.progress[m.GetFrom()]
	if r.role != Leader || !ok {
		return
	}
	p.recordAck(m.GetSentNs())
	if p.snapshot.GetIndex() != m.GetIndex() || m.GetOffset() > uint64(len(p.snapshot.GetData())) || m.GetOffset() == p.snapshotOffset {
		return
	}
	p.snapshotOffset = m.GetOffset()
	r.sendSnapshot(now, m.GetFrom(), p)
}

// onSnapshot collects the chunks of a snapshot and installs it when it is complete.
// A snapshot that is not beyond the commit index is acknowledged and ignored.
func (r *Replica) onSnapshot(now time.Time, m *saddlewire.Message) {
	r.acceptLeader(now, m.GetFrom())
	chunk := m.GetSnapshot()
	if chunk.GetIndex() > r.commitIndex && !r.addSnapshotChunk(m) {
		r.send(&saddlewire.Message{
			Type: saddlewire.Message_SNAPSHOT_REPLY, To: m.GetFrom(), Index: chunk.GetIndex(),
			Offset: uint64(len(r.partialSnapshot.GetData())), SentNs: m.GetSentNs(),
		})
		return
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), Index: r.commitIndex, SentNs: m.GetSentNs()})
}

// addSnapshotChunk adds a chunk and reports whether the snapshot is complete and
// was installed.
func (r *Replica) addSnapshotChunk(m *saddlewire.Message) bool {
	chunk := m.GetSnapshot()
	if r.partialSnapshot.GetIndex() != chunk.GetIndex() || r.partialSnapshot.GetTerm() != chunk.GetTerm() {
		r.partialSnapshot = &saddlewire.Snapshot{Index: chunk.GetIndex(), Term: chunk.GetTerm(), Membership: chunk.GetMembership()}
	}
	if m.GetOffset() == uint64(len(r.partialSnapshot.GetData())) {
		r.partialSnapshot.Data = append(r.partialSnapshot.Data, chunk.GetData()...)
	}
	if uint64(len(r.partialSnapshot.GetData())) < m.GetSize() {
		return false
	}
	s, _ := proto.Clone(r.partialSnapshot).(*saddlewire.Snapshot)
	r.partialSnapshot = nil
	r.installSnapshot(s)
	return true
}

// installSnapshot replaces the log up to the index of the snapshot. Later entries
// are kept only if the log holds an entry with the index and term of the snapshot.
func (r *Replica) installSnapshot(s *saddlewire.Snapshot) {
	if term, ok := r.log.term(s.GetIndex()); ok && term == s.GetTerm() {
		r.log.compact(s.GetIndex(), s.GetTerm())
	} else {
		r.log = entryLog{snapshotIndex: s.GetIndex(), snapshotTerm: s.GetTerm()}
	}
	r.ready.Entries = r.log.filterHeld(r.ready.Entries)
	r.commitIndex = s.GetIndex()
	r.lastApplied = s.GetIndex()
	r.snapshot = s
	r.ready.Snapshot = s
	r.refreshMembership()
}
