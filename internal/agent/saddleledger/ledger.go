package saddleledger

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// RanRetention is how long a request that may not be repeated is
	// remembered after it was sent to the target.
	RanRetention = 24 * time.Hour
	// margin is how long a record is kept past its request's deadline, so that
	// a late copy is still known.
	margin = 2 * time.Minute
	// answerRetention is how long a small answer is kept past the deadline.
	answerRetention = time.Hour
	smallAnswer     = 64 << 10 // bytes
	sweepEvery      = margin / 4
)

// Ledger holds the records. It is used under one lock.
type Ledger struct {
	records map[fireflysaddle.RequestID]*record
	swept   time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[fireflysaddle.RequestID]*record{}}
}

// Receive takes in an attempt. It returns a *fireflysaddle.RefusedError for one
// that was sealed or refused, which is proved not to have been run, and a
// *DuplicateError for one that was seen before, and for a later attempt of a
// request that may not be repeated and may have been run.
func (l *Ledger) Receive(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, repeatable bool, deadline time.Time) error {
	l.sweep(now)
	keep := deadline.Add(margin)
	if rec, ok := l.records[id]; ok {
		if err := rec.accepts(id, attempt, repeatable); err != nil {
			return err
		}
		keep = later(keep, rec.keep)
	}
	l.records[id] = &record{attempt: attempt, state: Received, repeatable: repeatable, deadline: deadline, keep: keep}
	return nil
}

// Start notes that the attempt is about to be sent to the target. It returns a
// *fireflysaddle.RefusedError when the request was sealed or overtaken by a
// later attempt meanwhile.
func (l *Ledger) Start(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	rec := l.current(id, attempt)
	if rec == nil || rec.state != Received {
		return refused(fireflysaddle.CodeSealed, "the request was sealed or overtaken while it waited")
	}
	rec.state = Running
	if !rec.repeatable {
		rec.keep = later(rec.keep, now.Add(RanRetention))
	}
	return nil
}

// Finish notes that the attempt ended, with the answer where there is one.
func (l *Ledger) Finish(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, answer *fireflysaddle.Answer) {
	if rec := l.current(id, attempt); rec != nil && rec.state == Running {
		rec.state = Done
		rec.answer = answer
	}
}

// Refuse notes that the attempt was not run and will not be.
func (l *Ledger) Refuse(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) {
	if rec := l.current(id, attempt); rec != nil && rec.state != Sealed {
		rec.state = Refused
	}
}

// Seal makes sure that an attempt that has not started never will, nor any
// before it, and returns the request's state: Sealed, Running or Done, the last
// with the answer if it is known. A request that may be so old that its record
// is gone is Forgotten: age is an upper bound of the time since it was sent.
func (l *Ledger) Seal(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, age, keep time.Duration) (State, *fireflysaddle.Answer) {
	l.sweep(now)
	rec, ok := l.records[id]
	if ok && (rec.state == Running || rec.state == Done) {
		return rec.state, rec.answer
	}
	sealed := &record{state: Sealed, attempt: attempt, keep: now.Add(keep + margin)}
	switch {
	case ok:
		sealed.attempt = max(attempt, rec.attempt)
		sealed.keep = later(sealed.keep, rec.keep)
		if rec.state == Forgotten {
			sealed.state = Forgotten // sealing it again proves no more
		}
	case age >= RanRetention/2:
		sealed.state = Forgotten
	}
	l.records[id] = sealed
	return sealed.state, nil
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

func (l *Ledger) current(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) *record {
	rec, ok := l.records[id]
	if !ok || rec.attempt != attempt {
		return nil
	}
	return rec
}

// sweep drops the records and the answers past their time, now and then. What
// waits or runs stays, however late it is.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for id, rec := range l.records {
		if rec.state == Running || rec.state == Received {
			continue
		}
		if rec.answer != nil && now.After(rec.answerUntil()) {
			rec.answer = nil
		}
		if now.After(rec.keep) {
			delete(l.records, id)
		}
	}
}

func refused(code fireflysaddle.Code, message string) error {
	return &fireflysaddle.RefusedError{Code: code, Message: message}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
