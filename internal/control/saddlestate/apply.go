package saddlestate

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Apply carries out a committed command at a log index and returns its result.
// A command with a request id seen before changes nothing and returns the
// first result.
func (s *State) Apply(index uint64, c *saddlewire.Command) *saddlewire.Result {
	if past, ok := s.results[c.GetRequest()]; ok && c.GetRequest() != "" {
		return past
	}
	result := s.change(index, c)
	if result.GetAccepted() && s.revision == index {
		s.noteHistory(index, c)
	}
	result.Index = index
	result.NowNs = c.GetNowNs()
	s.remember(c.GetRequest(), result)
	return result
}

func (s *State) change(index uint64, c *saddlewire.Command) *saddlewire.Result {
	switch change := c.GetChange().(type) {
	case *saddlewire.Command_PutTemplate:
		return s.putTemplate(index, change.PutTemplate)
	case *saddlewire.Command_PutDeployment:
		return s.putDeployment(index, change.PutDeployment)
	case *saddlewire.Command_PutDrain:
		return s.putDrain(index, change.PutDrain)
	case *saddlewire.Command_OpenClaim:
		return s.openClaim(c.GetNowNs(), change.OpenClaim.GetClaim())
	case *saddlewire.Command_SettleClaim:
		return s.settleClaim(change.SettleClaim)
	}
	return refuse(fireflysaddle.CodeInvalid, "the command asks for no known change")
}

func refuse(code fireflysaddle.Code, format string, args ...any) *saddlewire.Result {
	return &saddlewire.Result{Code: string(code), Message: fmt.Sprintf(format, args...)}
}

// conflict refuses a change that was made on another revision than the one in
// force, which it names.
func conflict(what string, name string, base, current uint64) *saddlewire.Result {
	r := refuse(fireflysaddle.CodeConflict, "%s %q is at revision %d, not %d", what, name, current, base)
	r.Revision = current
	return r
}
