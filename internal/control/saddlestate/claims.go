package saddlestate

import (
	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The states of a claim.
const (
	ClaimOpen = "open" // dispatched, outcome not recorded
	ClaimDone = "done" // outcome recorded
)

// openClaim opens a claim. A claim that exists is returned as it stands, not
// accepted. Only the next attempt's number moves an open claim on, which a caller
// may ask for once the agent of the attempt before proved that it was not run;
// of two that ask at once, the second finds the number taken.
func (s *State) openClaim(nowNs int64, c *saddlewire.Claim) *saddlewire.Result {
	if c.GetWorkspace() == "" || c.GetKey() == "" || c.GetRequest() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a claim needs workspace, key and request")
	}
	key := claimKey{workspace: c.GetWorkspace(), key: c.GetKey()}
	old, exists := s.claims[key]
	if exists && old.GetDigest() != c.GetDigest() {
		return refuse(fireflysaddle.CodeKeyReused, "the idempotency key was used with another request")
	}
	moves := exists && old.GetState() == ClaimOpen && c.GetAttempt() == old.GetAttempt()+1
	if exists && !moves {
		r := refuse(fireflysaddle.CodeInProgress, "the request with this idempotency key is claimed")
		r.Claim = old
		return r
	}
	next, _ := proto.Clone(c).(*saddlewire.Claim)
	next.State = ClaimOpen
	next.OpenedNs = nowNs
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true, Claim: next}
}

// settleClaim records the outcome; the first one stays. A claim whose latest
// attempt was not run is dropped, so that a resend starts anew.
func (s *State) settleClaim(settle *saddlewire.SettleClaim) *saddlewire.Result {
	key := claimKey{workspace: settle.GetWorkspace(), key: settle.GetKey()}
	old, ok := s.claims[key]
	if !ok {
		return refuse(fireflysaddle.CodeNotFound, "no such claim")
	}
	if old.GetState() == ClaimDone {
		return &saddlewire.Result{Accepted: true, Claim: old}
	}
	if old.GetRequest() != settle.GetRequest() {
		r := refuse(fireflysaddle.CodeConflict, "the claim belongs to another request")
		r.Claim = old
		return r
	}
	if settle.GetNotRun() {
		return s.dropClaim(key, old, settle.GetAttempt())
	}
	next, _ := proto.Clone(old).(*saddlewire.Claim)
	next.State = ClaimDone
	next.Answer = settle.GetAnswer()
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true, Claim: next}
}

func (s *State) dropClaim(key claimKey, old *saddlewire.Claim, attempt uint32) *saddlewire.Result {
	if old.GetAttempt() != attempt {
		r := refuse(fireflysaddle.CodeConflict, "the claim has moved on to attempt %d", old.GetAttempt())
		r.Claim = old
		return r
	}
	delete(s.claims, key)
	return &saddlewire.Result{Accepted: true}
}
