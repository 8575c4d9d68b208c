package saddleretry

// Outcome is what an attempt says about its target.
type Outcome int

const (
	// Neutral says nothing about the target: the caller left, the target's
	// agent refused, or another stage was at fault.
	Neutral Outcome = iota
	// Succeeded says that the target served the attempt.
	Succeeded
	// Failed says that the target or its agent was at fault.
	Failed
)
