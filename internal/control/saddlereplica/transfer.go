package saddlereplica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// sendSnapshot sends the next part of a snapshot.
func (r *Replica) sendSnapshot(now time.Time, id string, p *progress) {
	if p.snapshot == nil {
		p.snapshot = r.snapshot
		p.offset = 0
	}
	p.sent = now
	data := p.snapshot.GetData()
	end := min(uint64(len(data)), p.offset+uint64(r.cfg.messageBytes()))
	r.send(&saddlewire.Message{
		Type: saddlewire.Message_SNAPSHOT,
		To:   id,
		Snapshot: &saddlewire.Snapshot{
			Index:      p.snapshot.GetIndex(),
			Term:       p.snapshot.GetTerm(),
			Membership: p.snapshot.GetMembership(),
			Data:       data[p.offset:end],
		},
		Offset:  p.offset,
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
	p.noteAck(m.GetSentNs())
	if p.snapshot.GetIndex() != m.GetIndex() || m.GetOffset() > uint64(len(p.snapshot.GetData())) || m.GetOffset() == p.offset {
		return
	}
	p.offset = m.GetOffset()
	r.sendSnapshot(now, m.GetFrom(), p)
}

// onSnapshot gathers the parts of a snapshot and installs it when it is whole.
func (r *Replica) onSnapshot(now time.Time, m *saddlewire.Message) {
	r.followLeader(now, m.GetFrom())
	part := m.GetSnapshot()
	if part.GetIndex() > r.commit && !r.gather(m) {
		r.send(&saddlewire.Message{
			Type: saddlewire.Message_SNAPSHOT_REPLY, To: m.GetFrom(), Index: part.GetIndex(),
			Offset: uint64(len(r.incoming.GetData())), SentNs: m.GetSentNs(),
		})
		return
	}
	r.send(&saddlewire.Message{Type: saddlewire.Message_APPEND_REPLY, To: m.GetFrom(), Index: r.commit, SentNs: m.GetSentNs()})
}

// gather adds a part and reports whether the snapshot is whole and installed.
func (r *Replica) gather(m *saddlewire.Message) bool {
	part := m.GetSnapshot()
	if r.incoming.GetIndex() != part.GetIndex() || r.incoming.GetTerm() != part.GetTerm() {
		r.incoming = &saddlewire.Snapshot{Index: part.GetIndex(), Term: part.GetTerm(), Membership: part.GetMembership()}
	}
	if m.GetOffset() == uint64(len(r.incoming.GetData())) {
		r.incoming.Data = append(r.incoming.Data, part.GetData()...)
	}
	if uint64(len(r.incoming.GetData())) < m.GetSize() {
		return false
	}
	s, _ := proto.Clone(r.incoming).(*saddlewire.Snapshot)
	r.incoming = nil
	r.installSnapshot(s)
	return true
}

// installSnapshot replaces the log up to the snapshot. Entries after it stay
// only when the log agrees with the snapshot.
func (r *Replica) installSnapshot(s *saddlewire.Snapshot) {
	if term, ok := r.log.term(s.GetIndex()); ok && term == s.GetTerm() {
		r.log.compact(s.GetIndex(), s.GetTerm())
	} else {
		r.log = entryLog{base: s.GetIndex(), baseTerm: s.GetTerm()}
	}
	r.ready.Entries = r.log.kept(r.ready.Entries)
	r.commit = s.GetIndex()
	r.applied = s.GetIndex()
	r.snapshot = s
	r.ready.Snapshot = s
	r.useMembership()
}
