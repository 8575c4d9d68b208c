package fireflysaddle

import "time"

// Demand describes a request that is submitted to a target's queue.
type Demand struct {
	Request   RequestID
	Workspace Workspace
	Weight    uint32    // fair-share weight of the workspace
	Priority  Priority  // among the workspace's requests
	Tokens    int       // estimated number of tokens, including the prompt
	Deadline  time.Time // zero value: no deadline
}

// Admitter decides which request a target runs next. Implementations read no clock:
// callers pass the present time. Calls must not be concurrent.
type Admitter interface {
	// Offer queues a request or returns a *RefusedError.
	Offer(now time.Time, d Demand) error
	// Next removes and returns the next request to start; ok is false when none
	// can start. It never returns a request that RemoveExpired would return.
	Next(now time.Time) (id RequestID, ok bool)
	// Finish releases the slot of a started request.
	Finish(now time.Time, id RequestID)
	// Withdraw removes a request from the queue and reports whether it was there.
	Withdraw(now time.Time, id RequestID) bool
	// RemoveExpired removes and returns the queued requests that are predicted to
	// miss their deadline even if they started now.
	RemoveExpired(now time.Time) []RequestID
	// NextExpiry returns the earliest time at which RemoveExpired will return a
	// request, unless another method is called first; ok is false when there is none.
	NextExpiry() (at time.Time, ok bool)
	// EstimatedWait predicts the queueing time of a request added at the end of the
	// queue.
	EstimatedWait(now time.Time) time.Duration
	// Counts returns the number of running and the number of queued requests.
	Counts() (running, queued int)
}
