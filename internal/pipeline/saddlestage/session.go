package saddlestage

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// key identifies an attempt.
type key struct {
	request string
	attempt uint32
}

// session is one attempt at one stage. The table's lock guards it.
type session struct {
	chain    []*saddlewire.Stage
	index    uint32
	next     uint32 // position expected next
	busy     bool
	priority int32
	expires  time.Time
}

// accept takes in the next step; a step out of order is a
// *fireflysaddle.PositionError.
func (s *session) accept(k key, position uint32) error {
	if s.busy || position != s.next {
		return &fireflysaddle.PositionError{
			Request: fireflysaddle.RequestID(k.request),
			Want:    fireflysaddle.Position(s.next),
			Got:     fireflysaddle.Position(position),
		}
	}
	s.busy = true
	return nil
}

// done notes that a step of count positions has run.
func (s *session) done(count uint32) {
	s.busy = false
	s.next += count
}

// last reports whether the stage is the last of its chain.
func (s *session) last() bool {
	return int(s.index) == len(s.chain)-1
}

// after returns the stage that the next frame of a step goes to.
func (s *session) after() *saddlewire.Stage {
	if s.last() {
		return s.chain[0]
	}
	return s.chain[s.index+1]
}
