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

// log applies commands at rising indexes.
type log struct {
	state *saddlestate.State
	index uint64
	now   time.Duration // since the epoch
}

func newLog() *log { return &log{state: saddlestate.New(), now: 1000 * time.Hour} }

func (l *log) apply(c *saddlewire.Command) *saddlewire.Result {
	l.index++
	c.Request = fmt.Sprint("command-", l.index)
	c.NowNs = int64(l.now)
	return l.state.Apply(l.index, c)
}

func (l *log) open(request string, attempt uint32, after string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		After: after,
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Digest: "d", Request: request, Attempt: attempt},
	}}})
}

func (l *log) settle(request string, body string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, Answer: &saddlewire.Answer{Status: 201, Body: []byte(body)},
	}}})
}

func (l *log) drop(request string, attempt uint32) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_SettleClaim{SettleClaim: &saddlewire.SettleClaim{
		Workspace: "w", Key: "k", Request: request, NotRun: true, Attempt: attempt,
	}}})
}

func (l *log) find(digest string) *saddlewire.Result {
	return l.apply(&saddlewire.Command{Change: &saddlewire.Command_FindClaim{FindClaim: &saddlewire.FindClaim{
		Workspace: "w", Key: "k", Digest: digest,
	}}})
}

func TestSecondClaimFindsTheFirst(t *testing.T) {
	is := is.New(t)
	l := newLog()
	is.True(l.open("r1", 1, "").GetAccepted())
	second := l.open("r2", 1, "")
	is.True(!second.GetAccepted())
	is.Equal(second.GetClaim().GetRequest(), "r1")
	is.True(l.settle("r1", "receipt").GetAccepted())
	third := l.open("r3", 1, "")
	is.Equal(third.GetClaim().GetState(), saddlestate.ClaimDone)
	is.Equal(string(third.GetClaim().GetAnswer().GetBody()), "receipt")
}

func TestFirstOutcomeStays(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.open("r1", 1, "")
	l.settle("r1", "receipt")
	l.settle("r1", "another")
	l.settle("r2", "another's")
	is.Equal(string(l.open("r3", 1, "").GetClaim().GetAnswer().GetBody()), "receipt")
}

// r2 proved that r1 was not run and is slow to say so. Meanwhile r1's claim was
// dropped and r3 claimed the key and was dispatched. r2 must not take r3's
// claim, though its attempt's number fits.
func TestClaimMovesOnlyAfterTheRequestProvedNotRun(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.open("r1", 1, "")
	l.drop("r1", 1)
	is.True(l.open("r3", 1, "").GetAccepted())
	late := l.open("r2", 2, "r1")
	is.True(!late.GetAccepted())
	is.Equal(late.GetClaim().GetRequest(), "r3")
	is.True(l.open("r2", 2, "r3").GetAccepted())
	is.True(!l.drop("r3", 1).GetAccepted()) // it has moved on
}

func TestFindClaimChangesNothing(t *testing.T) {
	is := is.New(t)
	l := newLog()
	is.Equal(l.find("d").GetCode(), string(fireflysaddle.CodeNotFound))
	l.open("r1", 1, "")
	is.Equal(l.find("d").GetClaim().GetRequest(), "r1")
	is.Equal(l.find("other").GetCode(), string(fireflysaddle.CodeKeyReused))
	is.True(!l.open("r2", 1, "").GetAccepted())
}

// Claims do not grow without bound, and a snapshot taken at any moment leads to
// the same results as the log.
func TestClaimsExpire(t *testing.T) {
	for name, c := range map[string]struct {
		done    bool
		kept    time.Duration
		expired time.Duration
	}{
		"outcome recorded": {done: true, kept: saddlestate.DoneRetention, expired: saddlestate.DoneRetention + time.Second},
		"outcome open":     {kept: saddlestate.OpenRetention, expired: saddlestate.OpenRetention + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newLog()
			start := l.now
			l.open("r1", 1, "")
			if c.done {
				l.settle("r1", "receipt")
			}
			l.now = start + c.kept
			is.Equal(l.find("d").GetClaim().GetRequest(), "r1")
			data, err := l.state.Encode()
			is.NoErr(err)
			restored, err := saddlestate.Decode(data)
			is.NoErr(err)
			l.now = start + c.expired
			is.Equal(l.find("d").GetClaim(), nil)
			l.now = start // a leader whose clock is behind
			is.Equal(l.find("d").GetClaim(), nil)
			is.True(l.open("r2", 1, "").GetAccepted())
			l.state, l.now = restored, start+c.expired
			is.Equal(l.find("d").GetClaim(), nil)
		})
	}
}

func TestExpiredClaimsLeaveTheSnapshot(t *testing.T) {
	is := is.New(t)
	l := newLog()
	for i := range 1000 {
		l.apply(&saddlewire.Command{Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
			Claim: &saddlewire.Claim{Workspace: "w", Key: fmt.Sprint(i), Request: "r", Attempt: 1},
		}}})
	}
	is.Equal(l.state.Claims(), 1000)
	l.now += saddlestate.OpenRetention + time.Second
	l.open("r1", 1, "")
	is.Equal(l.state.Claims(), 1)
}

// The results kept for resends do not keep the answers.
func TestResultsDoNotKeepAnswers(t *testing.T) {
	is := is.New(t)
	l := newLog()
	l.open("r1", 1, "")
	l.settle("r1", string(make([]byte, 50_000)))
	for range 100 {
		l.open("r2", 1, "")
		l.find("d")
	}
	data, err := l.state.Encode()
	is.NoErr(err)
	is.True(len(data) < 100_000) // one answer and the results
}

// A resend of the command that opened a claim gets the first result.
func TestResentOpenClaimIsAcceptedOnce(t *testing.T) {
	is := is.New(t)
	l := newLog()
	c := &saddlewire.Command{Request: "c", NowNs: int64(l.now), Change: &saddlewire.Command_OpenClaim{OpenClaim: &saddlewire.OpenClaim{
		Claim: &saddlewire.Claim{Workspace: "w", Key: "k", Request: "r1", Attempt: 1},
	}}}
	is.True(l.state.Apply(1, c).GetAccepted())
	is.True(l.state.Apply(2, c).GetAccepted())
}
