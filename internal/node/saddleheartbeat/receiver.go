package saddleheartbeat

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Receiver reconstructs whole members from the heartbeats of one stream. It
// must be used by one goroutine at a time.
type Receiver struct {
	last *saddlewire.Member
}

// Member returns the member that a heartbeat describes, or nil if no heartbeat
// of the stream has carried a member yet. The result must not be modified.
func (r *Receiver) Member(b *saddlewire.Beat) *saddlewire.Member {
	if b.GetMember() != nil {
		r.last = b.GetMember()
		return r.last
	}
	if r.last == nil {
		return nil
	}
	m, _ := proto.Clone(r.last).(*saddlewire.Member)
	m.Target = r.last.GetTarget() // shared, so that comparing the targets is cheap
	m.Load = b.GetLoad()
	r.last = m
	return m
}
