package fireflysaddle

import "time"

// Candidate is the state of a target that a Chooser considers.
type Candidate struct {
	Target           TargetID
	InFlight         int           // requests that this entry has in flight at the target
	Reported         int           // requests at the target according to its last report
	InFlightAtReport int           // InFlight when this entry received the last report
	ReportAge        time.Duration // age of the last report
	LoadShare        float64       // this entry's fraction of the load that all entries send, in (0, 1]
	Slots            int           // requests that the target runs concurrently
	Rate             float64       // tokens per second in one slot
	Link             time.Duration // one-way network latency to the target
	PrefixHit        float64       // fraction of the prompt expected in the target's KV cache, 0 to 1
}

// Work is the size of a request.
type Work struct {
	PromptTokens int
	MaxTokens    int
}

// Pool is the set of targets that can serve a request. Each method takes at most
// logarithmic time in the number of targets.
type Pool interface {
	// Len returns the number of targets.
	Len() int
	// Draw returns the index of a target sampled with a probability proportional
	// to its speed. u is uniform in [0, 1).
	Draw(u float64) int
	// PrefixHolders returns the indices of targets that may hold the prompt's prefix
	// in their KV cache. The slice is valid until the next call.
	PrefixHolders() []int
	// Candidate returns the state of a target; ok is false when the target cannot
	// accept the request at present.
	Candidate(i int) (c Candidate, ok bool)
}

// Chooser selects the target of a request. Calls must not be concurrent.
type Chooser interface {
	// Choose returns the index of a target; ok is false when there is none.
	Choose(now time.Time, w Work, pool Pool) (index int, ok bool)
}
