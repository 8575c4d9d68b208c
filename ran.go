package fireflysaddle

// ExecutionStatus tells a caller whether its request was run.
type ExecutionStatus string

// What the system can say of a request that got no answer.
const (
	NotExecuted      ExecutionStatus = "no"      // proved: it was not run and will not be
	Executed         ExecutionStatus = "yes"     // it was run
	ExecutionUnknown ExecutionStatus = "unknown" // it may have been run
)
