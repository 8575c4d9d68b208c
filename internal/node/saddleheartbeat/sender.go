package saddleheartbeat

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Sender builds the heartbeats of one stream: the first one carries the whole
// member, later ones do so only when more than its load has changed. It must be
// used by one goroutine.
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

// equalExceptLoad compares two members without their loads. It removes the loads
// while it compares, and restores them.
func equalExceptLoad(a, b *saddlewire.Member) bool {
	loadA, loadB := a.GetLoad(), b.GetLoad()
	a.Load, b.Load = nil, nil
	same := proto.Equal(a, b)
	a.Load, b.Load = loadA, loadB
	return same
}
