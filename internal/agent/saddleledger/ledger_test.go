package saddleledger_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddleledger"
)

var start = time.Unix(1_000_000, 0)

const (
	timeout  = 20 * time.Second
	sealKeep = time.Hour
)

func isRefused(err error) bool {
	var refused *fireflysaddle.RefusedError
	return errors.As(err, &refused)
}

func isDuplicate(err error) bool {
	var duplicate *saddleledger.DuplicateError
	return errors.As(err, &duplicate)
}

func TestSealedAttemptNeverStarts(t *testing.T) {
	for name, received := range map[string]bool{"before it came": false, "while it waited": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := saddleledger.New()
			if received {
				is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
			}
			state, _ := l.Seal(start, "r", 1, 0, sealKeep)
			is.Equal(state, saddleledger.Sealed)
			is.True(isRefused(l.Receive(start, "r", 1, false, start.Add(timeout))))
			is.True(isRefused(l.Start(start, "r", 1)))
			is.NoErr(l.Receive(start, "r", 2, false, start.Add(timeout))) // the next attempt may
			is.NoErr(l.Start(start, "r", 2))
		})
	}
}

func TestTombstoneOutlivesTheDeadlineAndLaterAttempts(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	l.Seal(start, "r", 1, 0, sealKeep)
	is.NoErr(l.Receive(start, "r", 2, false, start.Add(timeout)))
	l.Refuse("r", 2)
	late := start.Add(sealKeep)
	is.True(l.Receive(late, "r", 1, false, late.Add(timeout)) != nil)
}

func TestRequestThatRanIsRememberedPastItsDeadline(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	is.NoErr(l.Start(start, "r", 1))
	l.Finish("r", 1, &fireflysaddle.Answer{Status: 201, Body: []byte("receipt")})
	state, answer := l.Seal(start.Add(50*time.Minute), "r", 1, 50*time.Minute, sealKeep)
	is.Equal(state, saddleledger.Done)
	is.Equal(string(answer.Body), "receipt")
	state, answer = l.Seal(start.Add(23*time.Hour), "r", 1, 23*time.Hour, sealKeep)
	is.Equal(state, saddleledger.Done) // without its answer
	is.True(answer == nil)
	state, _ = l.Seal(start.Add(25*time.Hour), "r", 1, 25*time.Hour, sealKeep)
	is.Equal(state, saddleledger.Forgotten) // not "sealed": it ran
}

// A process that was stopped for a while may still hold the request in its
// queue long after the deadline, when a copy comes.
func TestWaitingRequestIsNeverForgotten(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	late := start.Add(time.Hour)
	is.True(isDuplicate(l.Receive(late, "r", 1, false, late.Add(timeout))))
	is.NoErr(l.Start(late, "r", 1))
}

// Asking again about a request whose record is gone must not turn "too old to
// say" into "not run".
func TestForgottenRequestStaysForgotten(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	for range 3 {
		state, _ := l.Seal(start, "r", 1, 14*time.Hour, sealKeep)
		is.Equal(state, saddleledger.Forgotten)
	}
	state, _ := l.Seal(start, "r", 1, 0, sealKeep) // whoever asks with another age
	is.Equal(state, saddleledger.Forgotten)
	is.True(isDuplicate(l.Receive(start, "r", 1, false, start.Add(timeout))))
	is.True(isDuplicate(l.Receive(start, "r", 2, false, start.Add(timeout))))
	is.True(isRefused(l.Start(start, "r", 1)))
}

func TestRunningRequestIsNeverForgotten(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	is.NoErr(l.Start(start, "r", 1))
	state, _ := l.Seal(start.Add(100*time.Hour), "r", 1, 100*time.Hour, sealKeep)
	is.Equal(state, saddleledger.Running)
}

func TestCopies(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		prepare    func(l *saddleledger.Ledger)
		attempt    fireflysaddle.Attempt
		accepted   bool
		duplicate  bool // else refused
	}{
		"copy of one that waits":                   {attempt: 1, duplicate: true},
		"copy of one that runs":                    {attempt: 1, duplicate: true, prepare: run},
		"copy of one that is done":                 {attempt: 1, duplicate: true, prepare: finish},
		"copy of one that was refused":             {attempt: 1, prepare: refuse},
		"next after one that waits":                {attempt: 2, duplicate: true},
		"next after one that ran":                  {attempt: 2, duplicate: true, prepare: finish},
		"next after one that was refused":          {attempt: 2, accepted: true, prepare: refuse},
		"next of a repeatable one that runs":       {attempt: 2, accepted: true, repeatable: true, prepare: run},
		"earlier of a repeatable one, refused now": {attempt: 0, duplicate: true, repeatable: true, prepare: refuse},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := saddleledger.New()
			is.NoErr(l.Receive(start, "r", 1, c.repeatable, start.Add(timeout)))
			if c.prepare != nil {
				c.prepare(l)
			}
			err := l.Receive(start, "r", c.attempt, c.repeatable, start.Add(timeout))
			is.Equal(err == nil, c.accepted)
			is.Equal(isDuplicate(err), c.duplicate)
		})
	}
}

func run(l *saddleledger.Ledger) { _ = l.Start(start, "r", 1) }

func finish(l *saddleledger.Ledger) {
	run(l)
	l.Finish("r", 1, nil)
}

func refuse(l *saddleledger.Ledger) { l.Refuse("r", 1) }

func TestLedgerDoesNotGrowWithoutBound(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	for i := range 1000 {
		id := fireflysaddle.RequestID(fmt.Sprint("request-", i))
		is.NoErr(l.Receive(start, id, 1, i%2 == 0, start.Add(timeout)))
		is.NoErr(l.Start(start, id, 1))
		l.Finish(id, 1, nil)
	}
	is.NoErr(l.Receive(start.Add(10*time.Minute), "x", 1, true, start.Add(timeout)))
	is.Equal(l.Len(), 501) // those that may not be repeated stay
	l.Refuse("x", 1)       // what waits stays until its wait has ended
	is.NoErr(l.Receive(start.Add(25*time.Hour), "y", 1, true, start.Add(26*time.Hour)))
	is.Equal(l.Len(), 1)
}
