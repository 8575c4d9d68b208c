package saddleledger

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// margin is how long a record is kept past its request's deadline, so that a
// late copy is still known.
const margin = 2 * time.Minute

// Ledger holds the records. It is used under one lock.
type Ledger struct {
	records map[fireflysaddle.RequestID]*record
	swept   time.Time
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{records: map[fireflysaddle.RequestID]*record{}}
}

// Receive takes in an attempt. It returns a *fireflysaddle.RefusedError for a
// sealed request, for an attempt seen before, and for a later attempt of a
// request that may not be repeated and may have been run.
func (l *Ledger) Receive(now time.Time, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, repeatable bool, deadline time.Time) error {
	l.sweep(now)
	rec, ok := l.records[id]
	switch {
	case !ok:
	case rec.state == Sealed:
		return refused(fireflysaddle.CodeSealed, "the request was sealed")
	case attempt <= rec.attempt:
		return refused(fireflysaddle.CodeDuplicate, "the attempt was seen before")
	case !repeatable && rec.state != Refused:
		return refused(fireflysaddle.CodeDuplicate, "the request may have been run and may not be repeated")
	}
	l.records[id] = &record{attempt: attempt, state: Received, keep: deadline.Add(margin).UnixNano()}
	return nil
}

// Start notes that the attempt is about to be sent to the target. It returns a
// *fireflysaddle.RefusedError when the request was sealed or overtaken by a
// later attempt meanwhile.
func (l *Ledger) Start(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	rec := l.current(id, attempt)
	if rec == nil || rec.state != Received {
		return refused(fireflysaddle.CodeSealed, "the request was sealed or overtaken while it waited")
	}
	rec.state = Running
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

// Seal makes sure that a request that has not started never will, and returns
// its state: Sealed, Running or Done, the last with the answer if it is known.
func (l *Ledger) Seal(now time.Time, id fireflysaddle.RequestID, keep time.Duration) (State, *fireflysaddle.Answer) {
	l.sweep(now)
	rec, ok := l.records[id]
	if ok && (rec.state == Running || rec.state == Done) {
		return rec.state, rec.answer
	}
	sealed := &record{state: Sealed, keep: now.Add(keep + margin).UnixNano()}
	if ok {
		sealed.attempt = rec.attempt
	}
	l.records[id] = sealed
	return Sealed, nil
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

// sweep drops the records past their time, now and then.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < margin/4 {
		return
	}
	l.swept = now
	for id, rec := range l.records {
		if rec.state != Running && rec.keep < now.UnixNano() {
			delete(l.records, id)
		}
	}
}

func refused(code fireflysaddle.Code, message string) error {
	return &fireflysaddle.RefusedError{Code: code, Message: message}
}
