package saddleledger

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// record is the ledger's record of the latest attempt of a request.
type record struct {
	attempt    fireflysaddle.Attempt
	state      State
	repeatable bool
	answer     *fireflysaddle.Answer
	deadline   time.Time
	expiresAt  time.Time // time after which sweep removes the record
}

// checkAttempt returns the error with which Receive rejects an attempt, or nil.
func (r *record) checkAttempt(id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, repeatable bool) error {
	switch {
	case attempt > r.attempt && (repeatable || r.state == Refused || r.state == Sealed):
		return nil
	case r.state == Sealed:
		return newRefusal(fireflysaddle.CodeSealed, "the request was sealed")
	case r.state == Refused && (attempt == r.attempt || !r.repeatable):
		return newRefusal(fireflysaddle.CodeDuplicate, "the attempt was refused before")
	}
	return &DuplicateError{Request: id, Attempt: attempt}
}

// answerExpiresAt returns the time after which sweep removes the answer.
func (r *record) answerExpiresAt() time.Time {
	if len(r.answer.Body) <= smallAnswerBytes {
		return r.deadline.Add(answerRetention)
	}
	return r.deadline.Add(expiryMargin)
}
