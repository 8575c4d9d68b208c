package saddlestate

import (
	"bytes"
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Apply executes a committed command at a log index and returns its result. A
// command whose request id is in the result window is not executed again: Apply
// returns the stored result, or a refusal if the command asks for a different
// change.
func (s *State) Apply(index uint64, c *saddlewire.Command) *saddlewire.Result {
	changeDigest := digest(c)
	window := s.resultWindowFor(changeDigest != nil)
	if past, ok := window.find(c.GetRequest()); ok {
		if !bytes.Equal(past.GetDigest(), changeDigest) {
			return refuse(fireflysaddle.CodeInvalid, "request id %q was used for another change", c.GetRequest())
		}
		return past.GetResult()
	}
	s.now = max(s.now, c.GetNowNs())
	result := s.applyChange(index, c)
	if result.GetAccepted() && s.revision == index {
		s.recordHistory(index, c)
	}
	result.Index = index
	result.NowNs = s.now
	if result.GetAccepted() || !isClaimCommand(c) {
		window.add(&saddlewire.PastResult{Request: c.GetRequest(), Result: result, Digest: changeDigest})
	}
	return result
}

// isClaimCommand reports whether a command opens, settles or finds a claim.
// Refusals of these commands are not stored in the result window: a resend is
// refused again anyway. A refusal may contain the existing claim with its recorded
// answer, and a stored refusal would retain this answer long after the claim is
// removed.
func isClaimCommand(c *saddlewire.Command) bool {
	switch c.GetChange().(type) {
	case *saddlewire.Command_OpenClaim, *saddlewire.Command_SettleClaim, *saddlewire.Command_FindClaim:
		return true
	}
	return false
}

// applyChange executes the change that a command holds.
func (s *State) applyChange(index uint64, c *saddlewire.Command) *saddlewire.Result {
	switch change := c.GetChange().(type) {
	case *saddlewire.Command_PutTemplate:
		return s.putTemplate(index, change.PutTemplate)
	case *saddlewire.Command_PutDeployment:
		return s.putDeployment(index, change.PutDeployment)
	case *saddlewire.Command_PutDrain:
		return s.putDrain(index, change.PutDrain)
	case *saddlewire.Command_PutPlacement:
		return s.putPlacement(index, c.GetTerm(), change.PutPlacement)
	case *saddlewire.Command_PutRouting:
		return s.putRouting(index, change.PutRouting)
	case *saddlewire.Command_PutDeparture:
		return s.putDeparture(index, change.PutDeparture)
	case *saddlewire.Command_OpenClaim:
		return s.openClaim(change.OpenClaim)
	case *saddlewire.Command_SettleClaim:
		return s.settleClaim(change.SettleClaim)
	case *saddlewire.Command_FindClaim:
		return s.findClaim(change.FindClaim)
	}
	return refuse(fireflysaddle.CodeInvalid, "the command asks for no known change")
}

// refuse returns the result of a command that changes nothing.
func refuse(code fireflysaddle.Code, format string, args ...any) *saddlewire.Result {
	return &saddlewire.Result{Code: string(code), Message: fmt.Sprintf(format, args...)}
}

// conflict refuses a change whose base revision is not the current revision of
// the object. The result holds the current revision.
func conflict(kind string, name string, base, current uint64) *saddlewire.Result {
	r := refuse(fireflysaddle.CodeRevisionConflict, "%s %q is at revision %d, not %d", kind, name, current, base)
	r.Revision = current
	return r
}
