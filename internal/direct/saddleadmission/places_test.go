package saddleadmission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddleadmission"
)

// refused returns a queue that has refused a request at its arrival, and what it decided.
func refused(t *testing.T) (*saddleadmission.Queue, saddleadmission.Request, saddleadmission.Decision) {
	t.Helper()
	q, r := saddleadmission.New(), request()
	r.Tokens = 10 * usual
	r.Until = start // it may not wait
	d := q.Join(start, r, full(), 0)
	if !d.Refused || !d.Placed {
		t.Fatalf("%+v", d)
	}
	return q, r, d
}

func request() saddleadmission.Request {
	return saddleadmission.Request{
		Ticket: 1, Route: "letter", Workspace: "small", Tokens: usual, Fingerprint: "1",
		OnTime: start.Add(objective), Until: start.Add(patience), Deadline: start.Add(timeLeft),
	}
}

// full is a pool without room, in which room for ten usual streams becomes free in a second.
func full() saddleadmission.Room {
	return saddleadmission.Room{Capacity: capacity, Rate: 10 * usual, Entries: 1}
}

// Load: return after refusal, in time and before.
func TestReturnIsRecognisedInItsTime(t *testing.T) {
	for name, c := range map[string]struct {
		after       time.Duration // of the return, relative to the time that the caller was told
		fingerprint string
		elapsed     bool // the caller has evidently waited
		kept        bool
	}{
		"in time":                               {0, "1", true, true},
		"a little late":                         {500 * time.Millisecond, "1", true, true},
		"much too late":                         {2 * time.Second, "1", true, false},
		"early":                                 {-500 * time.Millisecond, "1", true, false},
		"in time, refused by another entry":     {0, "other", true, true},
		"in time, but has not waited anywhere":  {0, "other", false, false},
		"early, refused by another entry":       {-500 * time.Millisecond, "other", true, false},
		"in time at once after another attempt": {10 * time.Millisecond, "1", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q, r, d := refused(t)
			now := start.Add(d.RetryAfter + c.after)
			r.Ticket, r.Fingerprint, r.Until = 2, c.fingerprint, now.Add(patience)
			if c.elapsed {
				r.Elapsed = d.RetryAfter
			}
			is.Equal(q.Join(now, r, full(), 0).Returned, c.kept)
		})
	}
}

// A place is used once, also if the same request comes twice.
func TestPlaceIsUsedOnce(t *testing.T) {
	is := is.New(t)
	q, r, d := refused(t)
	now := start.Add(d.RetryAfter)
	r.Until = now.Add(patience)
	is.True(q.Join(now, r, full(), 0).Returned)
	r.Ticket = 2
	is.True(!q.Join(now, r, full(), 0).Returned)
}

// Failure: the entry was restarted, and knows nothing of its places.
func TestRestartedEntryServesReturnsAsNew(t *testing.T) {
	is := is.New(t)
	_, r, d := refused(t)
	now := start.Add(d.RetryAfter)
	r.Until = now.Add(patience)
	q := saddleadmission.New()
	is.True(!q.Join(now, r, full(), 0).Refused)
	room := full()
	room.Free = room.Capacity / 2
	_, _, ok := q.Next(now, room)
	is.True(ok)
}

// Failure: engines without which layers are missing are lost. They are replaced soon, so requests
// wait.
func TestNoneIsRefusedAtItsArrivalWhileNoRoomIsKnown(t *testing.T) {
	is := is.New(t)
	q := saddleadmission.New()
	for i := range saddleadmission.Ticket(100) {
		r := request()
		r.Ticket = i
		is.True(!q.Join(start, r, saddleadmission.Room{}, 0).Refused)
	}
	_, d, ok := q.Expire(start.Add(patience), saddleadmission.Room{}, 0)
	is.True(ok)
	is.True(d.RetryAfter > 0)
}
