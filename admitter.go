package fireflysaddle

import "time"

// Demand is what a request asks of a target's queue.
type Demand struct {
	Request   RequestID
	Workspace Workspace
	Weight    uint32
	Priority  Priority
	Tokens    int       // estimated tokens, prompt included
	Deadline  time.Time // zero: none
}

// Admitter decides which request a target runs next. It is a pure decider:
// it is called from one goroutine, or under one lock, with the present time.
type Admitter interface {
	// Offer queues a request or returns a *RefusedError.
	Offer(now time.Time, d Demand) error
	// Next takes the next request to start; ok is false when none can start.
	// It never returns one that Expired would.
	Next(now time.Time) (id RequestID, ok bool)
	// Finish frees the slot of a started request.
	Finish(now time.Time, id RequestID)
	// Withdraw removes a queued request; it reports whether it was queued.
	Withdraw(now time.Time, id RequestID) bool
	// Expired removes and returns the queued requests that are predicted to
	// miss their deadline even if they started now.
	RemoveExpired(now time.Time) []RequestID
	// Expiry returns when Expired will next have something to return if
	// nothing else happens; ok is false when it will not.
	NextExpiry() (at time.Time, ok bool)
	// Wait predicts the wait of a new request behind all that are queued.
	EstimatedWait(now time.Time) time.Duration
	// Counts returns the numbers of running and queued requests.
	Counts() (running, queued int)
}
