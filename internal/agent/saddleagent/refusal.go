package saddleagent

import (
	"errors"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// refusalOf returns the refusal message for an error that proves that the request
// was not run, or nil when the request may have been run.
func refusalOf(err error) *saddlewire.Refusal {
	var r *fireflysaddle.RefusedError
	if errors.As(err, &r) {
		return &saddlewire.Refusal{
			Code:     string(r.Code),
			Message:  r.Message,
			RetryMs:  r.RetryAfter.Milliseconds(),
			Revision: uint64(r.Revision),
		}
	}
	var n *fireflysaddle.NotSentError
	if errors.As(err, &n) {
		return &saddlewire.Refusal{Code: string(fireflysaddle.CodeUnreachable), Message: n.Error()}
	}
	return nil
}
