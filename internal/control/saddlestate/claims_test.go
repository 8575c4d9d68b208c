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

// claimHarness applies commands on one claim at increasing log indexes.
type claimHarness struct {
	state *saddlestate.State
	index uint64
	now   time.Duration // since the epoch
}

func newClaimHarness() *claimHarness {
	return &claimHarness{state: saddlestate.New(), now: 1000 * time.Hour}
}

func (l *claimHarness) apply(c *saddlewire.Command) *saddlewire.Result {
	l.index++
	c.Request = fmt.Sprint("command-", l.index)
	c.NowNs = int64(l.now)
	return l.state.Apply(l.index, c)
}

func (l *claimHarness) open(request string, attempt uint32, after string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		After: after,
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Digest: "d", Request: request, Attempt: attempt},
	}}})
}

func (l *claimHarness) settle(request string, body string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, Answer: &saddlewire.Answer{Status: 201, Body: []byte(body)},
	}}})
}

func (l *claimHarness) release(request string, attempt uint32) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, NotRun: true, Attempt: attempt,
	}}})
}

func (l *claimHarness) find(digest string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_FindClaim{FindClaim: &saddlewire.FindClaim{
		Workspace: "w", Key: "k", Digest: digest,
	}}})
}

func TestSecondOpenClaimReturnsExistingClaim(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	is.True(l.open("r1", 1, "").GetAccepted())
	second := l.open("r2", 1, "")
	is.True(!second.GetAccepted())
	is.Equal(second.GetClaim().GetRequest(), "r1")
	is.True(l.settle("r1", "receipt").GetAccepted())
	third := l.open("r3", 1, "")
	is.Equal(third.GetClaim().GetState(), saddlestate.ClaimDone)
	is.Equal(string(third.GetClaim().GetAnswer().GetBody()), "receipt")
}

func TestFirstOutcomeIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	l.open("r1", 1, "")
	l.settle("r1", "receipt")
	l.settle("r1", "another")
	l.settle("r2", "another's")
	is.Equal(string(l.open("r3", 1, "").GetClaim().GetAnswer().GetBody()), "receipt")
}

// r2 has proof that r1 was not run, but its command arrives late. Meanwhile the
// claim of r1 was released, and r3 opened a new one and was dispatched. r2 must
// not take over the claim of r3, although its attempt number fits.
func TestClaimAdvancesOnlyAfterNamedRequest(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	l.open("r1", 1, "")
	l.release("r1", 1)
	is.True(l.open("r3", 1, "").GetAccepted())
	late := l.open("r2", 2, "r1")
	is.True(!late.GetAccepted())
	is.Equal(late.GetClaim().GetRequest(), "r3")
	is.True(l.open("r2", 2, "r3").GetAccepted())
	is.True(!l.release("r3", 1).GetAccepted()) // r2 holds the claim now
}

func TestFindClaimDoesNotChangeState(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	is.Equal(l.find("d").GetCode(), string(fireflysaddle.CodeNotFound))
	l.open("r1", 1, "")
	is.Equal(l.find("d").GetClaim().GetRequest(), "r1")
	is.Equal(l.find("other").GetCode(), string(fireflysaddle.CodeKeyReused))
	is.True(!l.open("r2", 1, "").GetAccepted())
}

// Claims expire after their retention. A state restored from a snapshot gives
// the same results as the log.
func TestClaimsExpire(t *testing.T) {
	for name, c := range map[string]struct {
		done           bool
		atRetention    time.Duration
		afterRetention time.Duration
	}{
		"outcome recorded": {done: true, atRetention: saddlestate.DoneRetention, afterRetention: saddlestate.DoneRetention + time.Second},
		"outcome open":     {atRetention: saddlestate.OpenRetention, afterRetention: saddlestate.OpenRetention + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newClaimHarness()
			start := l.now
			l.open("r1", 1, "")
			if c.done {
				l.settle("r1", "receipt")
			}
			l.now = start + c.atRetention
			is.Equal(l.find("d").GetClaim().GetRequest(), "r1")
			data, err := l.state.Encode()
			is.NoErr(err)
			restored, err := saddlestate.Decode(data)
			is.NoErr(err)
			l.now = start + c.afterRetention
			is.Equal(l.find("d").GetClaim(), nil)
			l.now = start // a new leader with a slow clock
			is.Equal(l.find("d").GetClaim(), nil)
			is.True(l.open("r2", 1, "").GetAccepted())
			l.state, l.now = restored, start+c.afterRetention
			is.Equal(l.find("d").GetClaim(), nil)
		})
	}
}

func TestExpiredClaimsAreRemoved(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	for i := range 1000 {
		l.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
			Claim: &saddlewire.Claim{Workspace: "w", Key: fmt.Sprint(i), Request: "r", Attempt: 1},
		}}})
	}
	is.Equal(l.state.ClaimCount(), 1000)
	l.now += saddlestate.OpenRetention + time.Second
	l.open("r1", 1, "")
	is.Equal(l.state.ClaimCount(), 1)
}

// The result window must not hold the answers of claims: each refused command
// on a settled claim would otherwise add a copy of the answer to snapshots.
func TestResultWindowExcludesAnswers(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	l.open("r1", 1, "")
	l.settle("r1", string(make([]byte, 50_000)))
	for range 100 {
		l.open("r2", 1, "")
		l.find("d")
	}
	data, err := l.state.Encode()
	is.NoErr(err)
	is.True(len(data) < 100_000) // one answer and the result window
}

// A resend of the command that opened a claim returns the first result.
func TestResentOpenClaimReturnsFirstResult(t *testing.T) {
	is := is.New(t)
	l := newClaimHarness()
	c := &saddlewire.Command{Request: "c", NowNs: int64(l.now), Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Request: "r1", Attempt: 1},
	}}}
	is.True(l.state.Apply(1, c).GetAccepted())
	is.True(l.state.Apply(2, c).GetAccepted())
}
