package saddleretry

// Outcome classifies the result of an attempt for the circuit of its target.
type Outcome int

const (
	// Neutral means that the outcome says nothing about the target's health: the
	// caller cancelled, the target's agent refused the attempt, or another stage was
	// at fault.
	Neutral Outcome = iota
	// Succeeded means that the target served the attempt.
	Succeeded
	// Failed means that the target or its agent was at fault.
	Failed
)
