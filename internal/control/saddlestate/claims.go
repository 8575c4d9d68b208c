package saddlestate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The states of a claim.
const (
	ClaimOpen = "open" // dispatched, outcome not recorded
	ClaimDone = "done" // outcome recorded
)

// How long a claim is kept after its last change. A key that comes back later
// counts as a new one.
const (
	DoneRetention = 48 * time.Hour
	OpenRetention = 30 * 24 * time.Hour // its outcome may have to be looked up by hand

	sweepEvery = time.Hour
)

// findClaim returns a claim as it stands and changes nothing.
func (s *State) findClaim(find *saddlewire.FindClaim) *saddlewire.Result {
	old := s.claim(claimKey{workspace: find.GetWorkspace(), key: find.GetKey()})
	if old == nil {
		return refuse(fireflysaddle.CodeNotFound, "no such claim")
	}
	return standing(old, find.GetDigest())
}

// openClaim opens a claim. A claim that exists is returned as it stands, not
// accepted. Only the next attempt moves an open claim on, and only after the
// very request that the claim names: whoever asks has the proof that this
// request was not run and never will be. Of two that ask at once, the second
// finds the claim moved. Without a claim any attempt may open one.
func (s *State) openClaim(open *saddlewire.OpenClaim) *saddlewire.Result {
	c := open.GetClaim()
	if c.GetWorkspace() == "" || c.GetKey() == "" || c.GetRequest() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a claim needs workspace, key and request")
	}
	s.sweepClaims()
	key := claimKey{workspace: c.GetWorkspace(), key: c.GetKey()}
	old := s.claim(key)
	if old != nil && !movesOn(old, open) {
		return standing(old, c.GetDigest())
	}
	next, _ := proto.Clone(c).(*saddlewire.Claim)
	next.State = ClaimOpen
	next.OpenedNs = s.now
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true, Claim: next}
}

func movesOn(old *saddlewire.Claim, open *saddlewire.OpenClaim) bool {
	c := open.GetClaim()
	return old.GetState() == ClaimOpen &&
		old.GetDigest() == c.GetDigest() &&
		old.GetRequest() == open.GetAfter() &&
		old.GetAttempt()+1 == c.GetAttempt()
}

// standing refuses a command with the claim that stands in its way.
func standing(old *saddlewire.Claim, digest string) *saddlewire.Result {
	if old.GetDigest() != digest {
		return refuse(fireflysaddle.CodeKeyReused, "the idempotency key was used with another request")
	}
	r := refuse(fireflysaddle.CodeInProgress, "the request with this idempotency key is claimed")
	r.Claim = old
	return r
}

// settleClaim records the outcome; the first one stays. A claim whose latest
// attempt was not run is dropped, so that a resend starts anew.
func (s *State) settleClaim(settle *saddlewire.SettleClaim) *saddlewire.Result {
	key := claimKey{workspace: settle.GetWorkspace(), key: settle.GetKey()}
	old := s.claim(key)
	if old == nil {
		return refuse(fireflysaddle.CodeNotFound, "no such claim")
	}
	if old.GetRequest() != settle.GetRequest() {
		r := refuse(fireflysaddle.CodeRevisionConflict, "the claim belongs to another request")
		r.Claim = old
		return r
	}
	if old.GetState() == ClaimDone {
		return &saddlewire.Result{Accepted: !settle.GetNotRun()}
	}
	if settle.GetNotRun() {
		return s.dropClaim(key, old, settle.GetAttempt())
	}
	next, _ := proto.Clone(old).(*saddlewire.Claim)
	next.State = ClaimDone
	next.Answer = settle.GetAnswer()
	next.OpenedNs = s.now
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true}
}

func (s *State) dropClaim(key claimKey, old *saddlewire.Claim, attempt uint32) *saddlewire.Result {
	if old.GetAttempt() != attempt {
		r := refuse(fireflysaddle.CodeRevisionConflict, "the claim has moved on to attempt %d", old.GetAttempt())
		r.Claim = old
		return r
	}
	delete(s.claims, key)
	return &saddlewire.Result{Accepted: true}
}

// Claims returns the number of claims held.
func (s *State) Claims() int { return len(s.claims) }

// claim returns a claim that has not expired, or nil.
func (s *State) claim(key claimKey) *saddlewire.Claim {
	if old := s.claims[key]; old != nil && !s.expired(old) {
		return old
	}
	return nil
}

// expired compares times of the log, which never go back, so that all replicas
// agree whenever each of them removes the claim.
func (s *State) expired(c *saddlewire.Claim) bool {
	keep := DoneRetention
	if c.GetState() == ClaimOpen {
		keep = OpenRetention
	}
	return s.now-c.GetOpenedNs() > int64(keep)
}

// sweepClaims removes the expired claims, now and then.
func (s *State) sweepClaims() {
	if s.now-s.swept < int64(sweepEvery) {
		return
	}
	s.swept = s.now
	for key, c := range s.claims {
		if s.expired(c) {
			delete(s.claims, key)
		}
	}
}
