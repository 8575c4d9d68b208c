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
// an event. release returns the memory.
func (j *job) newEventReader(reply *fireflysaddle.Reply) (events *saddlesse.Reader, release func()) {
	share, release := j.cfg.Budget.Open(j.attemptAddress)
	events = saddlesse.NewReader(reply.Body)
	events.SetGrow(func(n int) error {
		err := share.Grow(eventCopies * saddlebudget.Size(n))
		var exhausted *saddlebudget.ExhaustedError
		if errors.As(err, &exhausted) {
			j.logExhausted(exhausted).Msg("attempt ended: no memory for an event")
		}
		return err
	})
	return events, release
}
