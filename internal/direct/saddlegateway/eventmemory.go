package saddlegateway

import (
	"errors"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlesse"
)

// eventCopies is how often the bytes of an event are held: twice by a slice that grows by copying,
// and as an identifier and its copy in an error.
const eventCopies = 4

// newEventReader returns a reader of the events of an answer, which ends if there is no memory for
// an event. reserve takes more memory for the answer, and release returns all of it.
func (j *job) newEventReader(reply *fireflysaddle.Reply) (events *saddlesse.Reader, reserve func(n int) error, release func()) {
	share, release := j.cfg.Budget.Open(j.attemptAddress)
	events = saddlesse.NewReader(reply.Body)
	reserve = func(n int) error {
		err := share.Grow(eventCopies * saddlebudget.Size(n))
		var exhausted *saddlebudget.ExhaustedError
		if errors.As(err, &exhausted) {
			j.logExhausted(exhausted).Msg("attempt ended: no memory for an event")
		}
		return err
	}
	events.SetGrow(reserve)
	return events, reserve, release
}
