package saddlecontrol

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// hearer makes whole members of the heartbeats of one stream. It is used by one
// goroutine at a time.
type hearer struct {
	last *saddlewire.Member
}

// member returns the member that a heartbeat stands for, nil when a stream
// begins with one that describes none. What it returns must not be changed.
func (h *hearer) member(b *saddlewire.Beat) *saddlewire.Member {
	if b.GetMember() != nil {
		h.last = b.GetMember()
		return h.last
	}
	if h.last == nil {
		return nil
	}
	m, _ := proto.Clone(h.last).(*saddlewire.Member)
	m.Target = h.last.GetTarget() // the same one compares as equal at once
	m.Load = b.GetLoad()
	h.last = m
	return m
}
