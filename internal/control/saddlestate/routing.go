package saddlestate

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Routing returns the routing configuration in force, nil before the first.
func (s *State) Routing() *saddlewire.Routing { return s.routing }

// putRouting takes a routing configuration with a higher version than the one in
// force. An equal or lower one is accepted and changes nothing, so that a resend
// and a change that was overtaken get the answer that they would have got.
func (s *State) putRouting(index uint64, put *saddlewire.PutRouting) *saddlewire.Result {
	if put.GetVersion() == 0 {
		return refuse(fireflysaddle.CodeInvalid, "a routing configuration needs a version above 0")
	}
	if current := s.routing.GetVersion(); put.GetVersion() <= current {
		return &saddlewire.Result{Accepted: true, Revision: current}
	}
	s.routing = &saddlewire.Routing{Version: put.GetVersion(), Content: put.GetContent(), Index: index}
	return s.accept(index, put.GetVersion())
}
