package saddleledger

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// record is what the ledger knows of one request.
type record struct {
	attempt    fireflysaddle.Attempt
	state      State
	repeatable bool
	answer     *fireflysaddle.Answer
	deadline   time.Time
	keep       time.Time // until when the record is kept
}

// accepts returns why an attempt is not taken in, or nil.
func (r *record) accepts(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, repeatable bool) error {
	switch {
	case attempt > r.attempt && (repeatable || r.state == Refused || r.state == Sealed):
		return nil
	case r.state == Sealed:
		return refused(fireflysaddle.CodeSealed, "the request was sealed")
	case r.state == Refused && (attempt == r.attempt || !r.repeatable):
		return refused(fireflysaddle.CodeDuplicate, "the attempt was refused before")
	}
	return &DuplicateError{Request: id, Attempt: attempt}
}

// answerUntil returns until when the answer is kept.
func (r *record) answerUntil() time.Time {
	if len(r.answer.Body) <= smallAnswer {
		return r.deadline.Add(answerRetention)
	}
	return r.deadline.Add(margin)
}
