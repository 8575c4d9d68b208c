package saddleheartbeat

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Sender makes the heartbeats of one stream: the first one describes the member
// whole, those after it do so only when more than its load has changed. It is
// used by one goroutine.
type Sender struct {
	last *saddlewire.Member
}

// Next returns the heartbeat for a member as it is now, which it keeps.
func (s *Sender) Next(m *saddlewire.Member) *saddlewire.Beat {
	old := s.last
	s.last = m
	if old == nil || !sameButLoad(old, m) {
		return &saddlewire.Beat{Member: m}
	}
	return &saddlewire.Beat{Load: m.GetLoad()}
}

// sameButLoad compares two members without their loads.
func sameButLoad(a, b *saddlewire.Member) bool {
	loadA, loadB := a.GetLoad(), b.GetLoad()
	a.Load, b.Load = nil, nil
	same := proto.Equal(a, b)
	a.Load, b.Load = loadA, loadB
	return same
}
