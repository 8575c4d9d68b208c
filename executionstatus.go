package fireflysaddle

// Ran states whether a request was run.
type Ran string

// Possible states of a request that got no answer.
const (
	RanNo      Ran = "no"      // proven: it was not run and will not be run
	RanYes     Ran = "yes"     // it was run
	RanUnknown Ran = "unknown" // it may have been run
)
