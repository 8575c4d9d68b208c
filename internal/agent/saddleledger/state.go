package saddleledger

// State is how far a request came.
type State int

// The states of a request.
const (
	Received  State = iota + 1 // not sent to the target yet
	Running                    // may have reached the target
	Done                       // ended
	Refused                    // refused before it was sent to the target
	Sealed                     // never to be run
	Forgotten                  // too old to say
)
