package fireflysaddle

// Ran tells a caller whether its request was run.
type Ran string

// What the system can say of a request that got no answer.
const (
	RanNo      Ran = "no"      // proved: it was not run and will not be
	RanYes     Ran = "yes"     // it was run
	RanUnknown Ran = "unknown" // it may have been run
)
