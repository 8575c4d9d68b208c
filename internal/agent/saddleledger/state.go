package saddleledger

// State is the state of a request at the agent.
type State int

// The states of a request.
const (
	Received State = iota + 1 // not yet sent to the target
	Running                   // may have reached the target
	Done                      // has ended after it was sent to the target
	Refused                   // refused before it was sent to the target
	Sealed                    // will never be run
	Unknown                   // the record may have expired, so the request may have been run
)
