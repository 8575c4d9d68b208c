package saddleadmission

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Tokens is a number of prompt and answer tokens, which may be a fraction after decay.
type Tokens float64

// Ticket identifies a request in a queue. Callers can send the same request twice at a time.
type Ticket uint64

// Rank orders requests; 0 is the most urgent.
type Rank int

// Request is a stream that asks for room.
type Request struct {
	Ticket    Ticket
	Rank      Rank
	Route     string
	Workspace fireflysaddle.Workspace
	Tokens    Tokens
	Begun     bool      // it has had its turn before, so its caller may have part of the answer
	OnTime    time.Time // latest time at which it can begin and be on time
	Until     time.Time // latest time until which it may wait
	Deadline  time.Time // end of the time that its caller has
	// Fingerprint is the same for all identical requests of a workspace.
	Fingerprint string
	// Elapsed is how much of the time that callers usually have had passed when the request
	// arrived. A caller that returns after a refusal has less time left.
	Elapsed time.Duration
}

// Room is the room at the engines of a pool, as far as this entry knows.
type Room struct {
	Capacity Tokens  // of all data centres
	Free     Tokens  // of Capacity
	Rate     float64 // tokens per second that are expected to become free for this entry
	Entries  int     // that share the room, including this one
}

// Reason says why a request is next, waits or is refused.
type Reason string

// The reasons, as logs and counters name them.
const (
	ReasonBegun    Reason = "begun"    // it has had its turn before
	ReasonStarving Reason = "starving" // its route, workspace or size is served much less often than the others
	ReasonRank     Reason = "rank"     // no request of a higher rank waits
	ReasonReturned Reason = "returned" // its caller came back in the time that it was told
	ReasonOnTime   Reason = "on_time"  // it can still be on time
	ReasonShare    Reason = "share"    // its workspace has had the least
	ReasonReserved Reason = "reserved" // room is kept for more urgent requests
	ReasonNoTurn   Reason = "no_turn"  // its turn would come after it may wait no longer
	ReasonExpired  Reason = "expired"  // it has waited as long as it may
)

// Decision is what is decided on a request that arrives or has waited as long as it may.
type Decision struct {
	Refused    bool
	Reason     Reason
	Returned   bool          // its caller came in the time that it was told, and room was kept for it
	Ahead      Tokens        // of the requests that go before it
	RetryAfter time.Duration // if it is refused
	Placed     bool          // room is kept for its caller after RetryAfter
}
