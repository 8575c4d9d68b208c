package saddlestate

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Routing returns the current routing configuration, or nil if there is none
// yet.
func (s *State) Routing() *saddlewire.Routing { return s.routing }

// putRouting stores a routing configuration if its version is higher than the
// current one. An equal or lower version is accepted without a change, so that
// neither a resend nor a configuration that has already been superseded is
// refused.
func (s *State) putRouting(index uint64, put *saddlewire.PutRouting) *saddlewire.Result {
	if put.GetVersion() == 0 {
		return refuse(fireflysaddle.CodeInvalid, "a routing configuration needs a version above 0")
	}
	if current := s.routing.GetVersion(); put.GetVersion() <= current {
		return &saddlewire.Result{Accepted: true, Revision: current}
	}
	s.routing = &saddlewire.Routing{
		Version: put.GetVersion(), Content: put.GetContent(), Index: index,
		// A configuration without the list may be one whose encoder omits empty lists.
		RequiresKey: put.GetRequiresKey() || s.routing.GetRequiresKey(),
	}
	return s.accept(index, put.GetVersion())
}
