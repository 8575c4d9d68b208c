package saddleledger

import "github.com/fireflysaddle/fireflysaddle"

// State is how far a request came.
type State int

// The states of a request.
const (
	Received State = iota + 1 // not sent to the target yet
	Running                   // may have reached the target
	Done                      // ended
	Refused                   // refused before it was sent to the target
	Sealed                    // never to be run
)

// record is what the ledger knows of one request.
type record struct {
	attempt fireflysaddle.Attempt
	state   State
	answer  *fireflysaddle.Answer
	keep    int64 // Unix nanoseconds until which the record is kept
}
