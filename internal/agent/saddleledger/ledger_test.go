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
	timeout           = 20 * time.Second
	tombstoneLifetime = time.Hour
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
	for name, received := range map[string]bool{"before it was received": false, "while it was queued": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := saddleledger.New()
			if received {
				is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
			}
			state, _ := l.Seal(start, "r", 1, 0, tombstoneLifetime)
			is.Equal(state, saddleledger.Sealed)
			is.True(isRefused(l.Receive(start, "r", 1, false, start.Add(timeout))))
			is.True(isRefused(l.Start(start, "r", 1)))
			is.NoErr(l.Receive(start, "r", 2, false, start.Add(timeout))) // the next attempt is not sealed
			is.NoErr(l.Start(start, "r", 2))
		})
	}
}

func TestTombstoneOutlivesTheDeadlineAndLaterAttempts(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	l.Seal(start, "r", 1, 0, tombstoneLifetime)
	is.NoErr(l.Receive(start, "r", 2, false, start.Add(timeout)))
	l.Refuse("r", 2)
	late := start.Add(tombstoneLifetime)
	is.True(l.Receive(late, "r", 1, false, late.Add(timeout)) != nil)
}

func TestStartedRequestIsKeptPastItsDeadline(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	is.NoErr(l.Start(start, "r", 1))
	l.Finish("r", 1, &fireflysaddle.Answer{Status: 201, Body: []byte("receipt")})
	state, answer := l.Seal(start.Add(50*time.Minute), "r", 1, 50*time.Minute, tombstoneLifetime)
	is.Equal(state, saddleledger.Done)
	is.Equal(string(answer.Body), "receipt")
	state, answer = l.Seal(start.Add(23*time.Hour), "r", 1, 23*time.Hour, tombstoneLifetime)
	is.Equal(state, saddleledger.Done) // the answer has expired
	is.True(answer == nil)
	state, _ = l.Seal(start.Add(25*time.Hour), "r", 1, 25*time.Hour, tombstoneLifetime)
	is.Equal(state, saddleledger.Unknown) // not Sealed, because the request was run
}

// A process that was suspended may still have the request in its queue long after
// the deadline. If the record had expired by then, a late copy would be run as well.
func TestReceivedRequestDoesNotExpire(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	late := start.Add(time.Hour)
	is.True(isDuplicate(l.Receive(late, "r", 1, false, late.Add(timeout))))
	is.NoErr(l.Start(late, "r", 1))
}

// Sealing a request repeatedly after its record has expired must not turn "unknown"
// into "not run".
func TestUnknownRequestStaysUnknown(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	for range 3 {
		state, _ := l.Seal(start, "r", 1, 14*time.Hour, tombstoneLifetime)
		is.Equal(state, saddleledger.Unknown)
	}
	state, _ := l.Seal(start, "r", 1, 0, tombstoneLifetime) // also when a caller passes a lower age
	is.Equal(state, saddleledger.Unknown)
	is.True(isDuplicate(l.Receive(start, "r", 1, false, start.Add(timeout))))
	is.True(isDuplicate(l.Receive(start, "r", 2, false, start.Add(timeout))))
	is.True(isRefused(l.Start(start, "r", 1)))
}

func TestRunningRequestDoesNotExpire(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	is.NoErr(l.Receive(start, "r", 1, false, start.Add(timeout)))
	is.NoErr(l.Start(start, "r", 1))
	state, _ := l.Seal(start.Add(100*time.Hour), "r", 1, 100*time.Hour, tombstoneLifetime)
	is.Equal(state, saddleledger.Running)
}

func TestRepeatedAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		repeatable bool
		prepare    func(l *saddleledger.Ledger)
		attempt    fireflysaddle.Attempt
		accepted   bool
		duplicate  bool // if not accepted: whether the error is a *DuplicateError and not a refusal
	}{
		"copy of a queued attempt":                  {attempt: 1, duplicate: true},
		"copy of a running attempt":                 {attempt: 1, duplicate: true, prepare: run},
		"copy of a completed attempt":               {attempt: 1, duplicate: true, prepare: finish},
		"copy of a refused attempt":                 {attempt: 1, prepare: refuse},
		"next after a queued attempt":               {attempt: 2, duplicate: true},
		"next after a completed attempt":            {attempt: 2, duplicate: true, prepare: finish},
		"next after a refused attempt":              {attempt: 2, accepted: true, prepare: refuse},
		"next after a running repeatable attempt":   {attempt: 2, accepted: true, repeatable: true, prepare: run},
		"earlier than a refused repeatable attempt": {attempt: 0, duplicate: true, repeatable: true, prepare: refuse},
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

func TestLedgerSizeIsBounded(t *testing.T) {
	is := is.New(t)
	l := saddleledger.New()
	for i := range 1000 {
		id := fireflysaddle.RequestID(fmt.Sprint("request-", i))
		is.NoErr(l.Receive(start, id, 1, i%2 == 0, start.Add(timeout)))
		is.NoErr(l.Start(start, id, 1))
		l.Finish(id, 1, nil)
	}
	is.NoErr(l.Receive(start.Add(10*time.Minute), "x", 1, true, start.Add(timeout)))
	is.Equal(l.Len(), 501) // the 500 that must not be repeated, and the new one
	l.Refuse("x", 1)       // a queued request would not expire
	is.NoErr(l.Receive(start.Add(25*time.Hour), "y", 1, true, start.Add(26*time.Hour)))
	is.Equal(l.Len(), 1)
}
