package saddlestate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestate"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// claimHarness applies commands on claims at increasing log indexes.
type claimHarness struct {
	state *saddlestate.State
	index uint64
	now   time.Duration // Unix time of the next command
}

func newClaimHarness() *claimHarness {
	return &claimHarness{state: saddlestate.New(), now: 1000 * time.Hour}
}

func (h *claimHarness) apply(c *saddlewire.Command) *saddlewire.Result {
	h.index++
	c.Request = fmt.Sprint("command-", h.index)
	c.NowNs = int64(h.now)
	return h.state.Apply(h.index, c)
}

func (h *claimHarness) open(request string, attempt uint32, after string) *saddlewire.Result {
	return h.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		After: after,
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Digest: "d", Request: request, Attempt: attempt},
	}}})
}

func (h *claimHarness) settle(request string, body string) *saddlewire.Result {
	return h.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, Answer: &saddlewire.Answer{Status: 201, Body: []byte(body)},
	}}})
}

func (h *claimHarness) release(request string, attempt uint32) *saddlewire.Result {
	return h.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, NotRun: true, Attempt: attempt,
	}}})
}

func (h *claimHarness) find(digest string) *saddlewire.Result {
	return h.apply(&saddlewire.Command{Change: &saddlewire.Command_FindClaim{FindClaim: &saddlewire.FindClaim{
		Workspace: "w", Key: "k", Digest: digest,
	}}})
}

func TestSecondOpenClaimReturnsExistingClaim(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	is.True(h.open("r1", 1, "").GetAccepted())
	second := h.open("r2", 1, "")
	is.True(!second.GetAccepted())
	is.Equal(second.GetClaim().GetRequest(), "r1")
	is.True(h.settle("r1", "receipt").GetAccepted())
	third := h.open("r3", 1, "")
	is.Equal(third.GetClaim().GetState(), saddlestate.ClaimDone)
	is.Equal(string(third.GetClaim().GetAnswer().GetBody()), "receipt")
}

func TestFirstOutcomeIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	h.open("r1", 1, "")
	h.settle("r1", "receipt")
	h.settle("r1", "another")
	h.settle("r2", "another's")
	is.Equal(string(h.open("r3", 1, "").GetClaim().GetAnswer().GetBody()), "receipt")
}

// The sender of request r2 has proof that request r1 was not run, but its command
// arrives late. Meanwhile the claim of r1 was released, and request r3 opened a new
// claim and was dispatched. r2 must not take over the claim of r3, although the
// attempt number of r2 is the next one.
func TestClaimAdvancesOnlyAfterNamedRequest(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	h.open("r1", 1, "")
	h.release("r1", 1)
	is.True(h.open("r3", 1, "").GetAccepted())
	late := h.open("r2", 2, "r1")
	is.True(!late.GetAccepted())
	is.Equal(late.GetClaim().GetRequest(), "r3")
	is.True(h.open("r2", 2, "r3").GetAccepted())
	is.True(!h.release("r3", 1).GetAccepted()) // r2 holds the claim now
}

func TestFindClaimDoesNotChangeState(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	is.Equal(h.find("d").GetCode(), string(fireflysaddle.CodeNotFound))
	h.open("r1", 1, "")
	is.Equal(h.find("d").GetClaim().GetRequest(), "r1")
	is.Equal(h.find("other").GetCode(), string(fireflysaddle.CodeKeyReused))
	is.True(!h.open("r2", 1, "").GetAccepted())
}

// Claims expire after their retention period, and do not become live again when
// the clock of a new leader is behind. In a state restored from a snapshot they
// expire at the same log time.
func TestClaimsExpire(t *testing.T) {
	for name, c := range map[string]struct {
		done       bool
		liveAge    time.Duration
		expiredAge time.Duration
	}{
		"outcome recorded":     {done: true, liveAge: saddlestate.DoneRetention, expiredAge: saddlestate.DoneRetention + time.Second},
		"outcome not recorded": {liveAge: saddlestate.OpenRetention, expiredAge: saddlestate.OpenRetention + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newClaimHarness()
			start := h.now
			h.open("r1", 1, "")
			if c.done {
				h.settle("r1", "receipt")
			}
			h.now = start + c.liveAge
			is.Equal(h.find("d").GetClaim().GetRequest(), "r1")
			data, err := h.state.Encode()
			is.NoErr(err)
			restored, err := saddlestate.Decode(data)
			is.NoErr(err)
			h.now = start + c.expiredAge
			is.Equal(h.find("d").GetClaim(), nil)
			h.now = start // the clock of a new leader is behind
			is.Equal(h.find("d").GetClaim(), nil)
			is.True(h.open("r2", 1, "").GetAccepted())
			h.state, h.now = restored, start+c.expiredAge
			is.Equal(h.find("d").GetClaim(), nil)
		})
	}
}

func TestExpiredClaimsAreRemoved(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	for i := range 1000 {
		h.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
			Claim: &saddlewire.Claim{Workspace: "w", Key: fmt.Sprint(i), Request: "r", Attempt: 1},
		}}})
	}
	is.Equal(h.state.ClaimCount(), 1000)
	h.now += saddlestate.OpenRetention + time.Second
	h.open("r1", 1, "")
	is.Equal(h.state.ClaimCount(), 1)
}

// The result window must not hold the answers of claims: otherwise each refused
// command on a settled claim would add a copy of the answer to snapshots.
func TestResultWindowExcludesAnswers(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	h.open("r1", 1, "")
	h.settle("r1", string(make([]byte, 50_000)))
	for range 100 {
		h.open("r2", 1, "")
		h.find("d")
	}
	data, err := h.state.Encode()
	is.NoErr(err)
	is.True(len(data) < 100_000) // room for one answer and the result window
}

// A resend of the command that opened a claim returns the first result.
func TestResentOpenClaimReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	h := newClaimHarness()
	c := &saddlewire.Command{Request: "c", NowNs: int64(h.now), Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Request: "r1", Attempt: 1},
	}}}
	is.True(h.state.Apply(1, c).GetAccepted())
	is.True(h.state.Apply(2, c).GetAccepted())
}
