package fireflysaddle

// ExecutionStatus states whether a request was run.
type ExecutionStatus string

// Possible states of a request that got no answer.
const (
	NotExecuted      ExecutionStatus = "no"      // proven: it was not run and will not be run
	Executed         ExecutionStatus = "yes"     // it was run
	ExecutionUnknown ExecutionStatus = "unknown" // it may have been run
)
