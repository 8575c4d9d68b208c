package fireflysaddle

import "time"

// Candidate is a target that may take a request, as the chooser sees it.
type Candidate struct {
	Target           TargetID
	InFlight         int           // requests of this entry at the target
	Reported         int           // requests at the target by its last report
	InFlightAtReport int           // requests of this entry at the target at that report
	ReportAge        time.Duration // age of that report
	LoadShare        float64       // share of this entry in the load of all targets, above 0 to 1
	Slots            int           // requests the target runs at the same time
	Rate             float64       // tokens a second in one slot
	Link             time.Duration // one-way latency
	PrefixHit        float64       // share of the prompt expected in its cache, 0 to 1
}

// Work is the size of a request.
type Work struct {
	PromptTokens int
	MaxTokens    int
}

// Pool is the set of targets that a request may go to. Each method takes a time
// that grows no faster than the logarithm of the number of targets.
type Pool interface {
	// Len returns the number of targets.
	Len() int
	// Draw returns the index of a target with a chance proportional to its
	// speed. u is uniform in [0, 1).
	Draw(u float64) int
	// Hinted returns the indices of targets that may hold the prompt's prefix.
	// The slice is valid until the next call.
	PrefixHolders() []int
	// Candidate describes a target; ok is false when the target cannot take
	// the request at present.
	Candidate(i int) (c Candidate, ok bool)
}

// Chooser picks a target. It is called from one goroutine at a time.
type Chooser interface {
	// Choose returns the index of a target; ok is false when there is none.
	Choose(now time.Time, w Work, pool Pool) (index int, ok bool)
}
