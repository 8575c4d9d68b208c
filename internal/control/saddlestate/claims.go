package saddlestate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// The states of a claim.
const (
	ClaimOpen = "open" // request dispatched, outcome not recorded
	ClaimDone = "done" // outcome recorded
)

// Retention periods of claims, in log time since the last change of the claim.
// After this period, a request with the same key is treated as new.
const (
	DoneRetention = 48 * time.Hour
	OpenRetention = 30 * 24 * time.Hour // long enough for an operator to investigate the outcome

	sweepInterval = time.Hour // time between two removals of expired claims
)

// findClaim looks up a claim without changing the state. It returns an existing
// claim in a refusal, as openClaim does.
func (s *State) findClaim(find *saddlewire.FindClaim) *saddlewire.Result {
	existing := s.liveClaim(claimKey{workspace: find.GetWorkspace(), key: find.GetKey()})
	if existing == nil {
		return refuse(fireflysaddle.CodeNotFound, "no such claim")
	}
	return refuseExisting(existing, find.GetDigest())
}

// openClaim opens a claim. If the key is already claimed, the command is refused,
// and the result holds the existing claim, unless the digests differ. There is one
// exception: the next attempt takes over an open claim if the After field of its
// command names the request that holds the claim. The sender of such a command has
// proof that the named request was not run and never will be. If two commands name
// the same request, the second is refused, because the first has changed the holder
// of the claim. If there is no claim, a command with any attempt number may open
// one.
func (s *State) openClaim(open *saddlewire.OpenClaim) *saddlewire.Result {
	c := open.GetClaim()
	if c.GetWorkspace() == "" || c.GetKey() == "" || c.GetRequest() == "" {
		return refuse(fireflysaddle.CodeInvalid, "a claim needs workspace, key and request")
	}
	s.sweepClaims()
	key := claimKey{workspace: c.GetWorkspace(), key: c.GetKey()}
	existing := s.liveClaim(key)
	if existing != nil && !isNextAttempt(existing, open) {
		return refuseExisting(existing, c.GetDigest())
	}
	next, _ := proto.Clone(c).(*saddlewire.Claim)
	next.State = ClaimOpen
	next.OpenedNs = s.now
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true, Claim: next}
}

// isNextAttempt reports whether a command may take over an existing claim.
func isNextAttempt(existing *saddlewire.Claim, open *saddlewire.OpenClaim) bool {
	c := open.GetClaim()
	return existing.GetState() == ClaimOpen &&
		existing.GetDigest() == c.GetDigest() &&
		existing.GetRequest() == open.GetAfter() &&
		existing.GetAttempt()+1 == c.GetAttempt()
}

// refuseExisting refuses a command because of an existing claim. The result holds
// the claim, unless its digest differs from that of the command.
func refuseExisting(existing *saddlewire.Claim, digest string) *saddlewire.Result {
	if existing.GetDigest() != digest {
		return refuse(fireflysaddle.CodeKeyReused, "the idempotency key was used with another request")
	}
	r := refuse(fireflysaddle.CodeInProgress, "the request with this idempotency key is claimed")
	r.Claim = existing
	return r
}

// settleClaim records the outcome of a claim. A later outcome does not overwrite
// the first one. If the latest attempt was not run, the claim is released, so that a
// resend can open a new one.
func (s *State) settleClaim(settle *saddlewire.SettleClaim) *saddlewire.Result {
	key := claimKey{workspace: settle.GetWorkspace(), key: settle.GetKey()}
	existing := s.liveClaim(key)
	if existing == nil {
		return refuse(fireflysaddle.CodeNotFound, "no such claim")
	}
	if existing.GetRequest() != settle.GetRequest() {
		r := refuse(fireflysaddle.CodeRevisionConflict, "the claim belongs to another request")
		r.Claim = existing
		return r
	}
	if existing.GetState() == ClaimDone {
		return &saddlewire.Result{Accepted: !settle.GetNotRun()}
	}
	if settle.GetNotRun() {
		return s.releaseClaim(key, existing, settle.GetAttempt())
	}
	next, _ := proto.Clone(existing).(*saddlewire.Claim)
	next.State = ClaimDone
	next.Answer = settle.GetAnswer()
	next.OpenedNs = s.now // from here on the time of the settlement, from which the retention period counts
	s.claims[key] = next
	return &saddlewire.Result{Accepted: true}
}

// releaseClaim removes a claim whose latest attempt was not run. The release
// is refused if attempt is not the latest one.
func (s *State) releaseClaim(key claimKey, existing *saddlewire.Claim, attempt uint32) *saddlewire.Result {
	if existing.GetAttempt() != attempt {
		r := refuse(fireflysaddle.CodeRevisionConflict, "the claim has moved on to attempt %d", existing.GetAttempt())
		r.Claim = existing
		return r
	}
	delete(s.claims, key)
	return &saddlewire.Result{Accepted: true}
}

// ClaimCount returns the number of claims, including expired claims that have not
// been removed yet.
func (s *State) ClaimCount() int { return len(s.claims) }

// liveClaim returns a claim that has not expired, or nil.
func (s *State) liveClaim(key claimKey) *saddlewire.Claim {
	if c := s.claims[key]; c != nil && !s.expired(c) {
		return c
	}
	return nil
}

// expired reports whether the retention period of a claim is over. It uses log
// time, which never decreases. All replicas therefore agree on whether a claim
// has expired, even if they remove it at different times.
func (s *State) expired(c *saddlewire.Claim) bool {
	retention := DoneRetention
	if c.GetState() == ClaimOpen {
		retention = OpenRetention
	}
	return s.now-c.GetOpenedNs() > int64(retention)
}

// sweepClaims removes the expired claims, at most once per sweepInterval.
func (s *State) sweepClaims() {
	if s.now-s.lastSweep < int64(sweepInterval) {
		return
	}
	s.lastSweep = s.now
	for key, c := range s.claims {
		if s.expired(c) {
			delete(s.claims, key)
		}
	}
}
