package saddleheartbeat

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Receiver makes whole members of the heartbeats of one stream. It is used by
// one goroutine at a time.
type Receiver struct {
	last *saddlewire.Member
}

// Member returns the member that a heartbeat stands for, nil when a stream
// begins with one that describes none. What it returns must not be changed.
func (r *Receiver) Member(b *saddlewire.Beat) *saddlewire.Member {
	if b.GetMember() != nil {
		r.last = b.GetMember()
		return r.last
	}
	if r.last == nil {
		return nil
	}
	m, _ := proto.Clone(r.last).(*saddlewire.Member)
	m.Target = r.last.GetTarget() // the same one compares as equal at once
	m.Load = b.GetLoad()
	r.last = m
	return m
}
