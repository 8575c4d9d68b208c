package fireflysaddle

import "time"

// Candidate is a target that may take a request, as the chooser sees it.
type Candidate struct {
	Target    TargetID
	InFlight  int           // requests of this entry at the target
	Reported  int           // requests at the target by its last report
	ReportAge time.Duration // age of that report
	Slots     int           // requests the target runs at the same time
	Rate      float64       // tokens a second in one slot
	Link      time.Duration // one-way latency
	PrefixHit float64       // share of the prompt expected in its cache, 0 to 1
	Wait      time.Duration // predicted wait by its last report
}

// Work is the size of a request.
type Work struct {
	PromptTokens int
	MaxTokens    int
}

// Chooser picks a target. It is called from one goroutine at a time.
type Chooser interface {
	// Choose returns the index of a candidate; ok is false when there is none.
	Choose(now time.Time, w Work, candidates []Candidate) (index int, ok bool)
}
