package saddleheartbeat

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Sender builds the heartbeats of one stream. The first heartbeat carries the whole
// member. A later heartbeat carries the whole member only if more than the member's
// load has changed. A Sender must be used by one goroutine.
type Sender struct {
	last *saddlewire.Member
}

// Next returns the heartbeat for the current state of a member. It retains m
// for the next comparison, so m must not be modified afterwards.
func (s *Sender) Next(m *saddlewire.Member) *saddlewire.Beat {
	old := s.last
	s.last = m
	if old == nil || !equalExceptLoad(old, m) {
		return &saddlewire.Beat{Member: m}
	}
	return &saddlewire.Beat{Load: m.GetLoad()}
}

// equalExceptLoad reports whether two members are equal apart from their loads. It
// sets both loads to nil for the comparison and restores them afterwards.
func equalExceptLoad(a, b *saddlewire.Member) bool {
	loadA, loadB := a.GetLoad(), b.GetLoad()
	a.Load, b.Load = nil, nil
	same := proto.Equal(a, b)
	a.Load, b.Load = loadA, loadB
	return same
}
