package saddleledger

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// StartedRetention is how long the record of a request that must not be repeated
	// is kept after the request was sent to the target.
	StartedRetention = 24 * time.Hour
	// expiryMargin is how long a record is kept past its request's deadline, so that
	// a copy that arrives late is still recognised.
	expiryMargin = 2 * time.Minute
	// answerRetention is how long an answer of up to smallAnswerBytes is kept past
	// the deadline. A larger answer is kept for expiryMargin.
	answerRetention  = time.Hour
	smallAnswerBytes = 64 << 10 // 64 KiB
	sweepInterval    = expiryMargin / 4
)

// Ledger holds the records of requests. It is not safe for concurrent use: callers
// hold a lock.
type Ledger struct {
	records   map[fireflysaddle.RequestID]*record
	lastSweep time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[fireflysaddle.RequestID]*record{}}
}

// Receive records the arrival of an attempt. It returns a
// *fireflysaddle.RefusedError for an attempt that was sealed or refused before,
// which proves that it was not run. It returns a *DuplicateError for a copy of an
// attempt, for an attempt older than the recorded one, and for a later attempt if
// the request must not be repeated and an earlier attempt may have been run.
func (l *Ledger) Receive(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, repeatable bool, deadline time.Time) error {
	l.sweep(now)
	expiresAt := deadline.Add(expiryMargin)
	if rec, ok := l.records[id]; ok {
		if err := rec.checkAttempt(id, attempt, repeatable); err != nil {
			return err
		}
		expiresAt = laterOf(expiresAt, rec.expiresAt)
	}
	l.records[id] = &record{attempt: attempt, state: Received, repeatable: repeatable, deadline: deadline, expiresAt: expiresAt}
	return nil
}

// Start records that the attempt is about to be sent to the target. It returns a
// *fireflysaddle.RefusedError when the request has been sealed, or a later attempt
// has been received, since Receive.
func (l *Ledger) Start(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	rec := l.find(id, attempt)
	if rec == nil || rec.state != Received {
		return newRefusal(fireflysaddle.CodeSealed, "the request was sealed or replaced by a later attempt while it was queued")
	}
	rec.state = Running
	if !rec.repeatable {
		rec.expiresAt = laterOf(rec.expiresAt, now.Add(StartedRetention))
	}
	return nil
}

// Finish records that the attempt has ended. answer is nil if there is none.
func (l *Ledger) Finish(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, answer *fireflysaddle.Answer) {
	if rec := l.find(id, attempt); rec != nil && rec.state == Running {
		rec.state = Done
		rec.answer = answer
	}
}

// Refuse records that the attempt was not run and never will be.
func (l *Ledger) Refuse(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) {
	if rec := l.find(id, attempt); rec != nil && rec.state != Sealed {
		rec.state = Refused
	}
}

// Seal ensures that the attempt and any earlier attempt never start, unless one of
// them has already started. It returns the request's state, which is Sealed, Running, Done or
// Unknown. For Done it also returns the answer, or nil if there is none or it has
// expired. age is an upper bound of the time since the request was sent. A request
// without a record is Unknown if a record of a request of that age may already have
// expired, because the request may then have been run. The tombstone is kept for at
// least lifetime.
func (l *Ledger) Seal(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, age, lifetime time.Duration) (State, *fireflysaddle.Answer) {
	l.sweep(now)
	rec, ok := l.records[id]
	if ok && (rec.state == Running || rec.state == Done) {
		return rec.state, rec.answer
	}
	sealed := &record{state: Sealed, attempt: attempt, expiresAt: now.Add(lifetime + expiryMargin)}
	switch {
	case ok:
		sealed.attempt = max(attempt, rec.attempt)
		sealed.expiresAt = laterOf(sealed.expiresAt, rec.expiresAt)
		if rec.state == Unknown {
			sealed.state = Unknown // sealing the request again does not prove that it was not run
		}
	case age >= StartedRetention/2:
		sealed.state = Unknown
	}
	l.records[id] = sealed
	return sealed.state, nil
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// find returns the record of an attempt, or nil when the attempt is not the one
// recorded for the request.
func (l *Ledger) find(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) *record {
	rec, ok := l.records[id]
	if !ok || rec.attempt != attempt {
		return nil
	}
	return rec
}

// sweep removes expired records and answers, at most once per sweepInterval.
// Records of queued and running requests do not expire.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for id, rec := range l.records {
		if rec.state == Running || rec.state == Received {
			continue
		}
		if rec.answer != nil && now.After(rec.answerExpiresAt()) {
			rec.answer = nil
		}
		if now.After(rec.expiresAt) {
			delete(l.records, id)
		}
	}
}

func newRefusal(code fireflysaddle.Code, message string) error {
	return &fireflysaddle.RefusedError{Code: code, Message: message}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
