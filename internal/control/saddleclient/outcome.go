package saddleclient

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Outcome is the result of a command and how it was obtained.
type Outcome struct {
	Result *saddlewire.Result
	// Resent is true if an answer was lost and the command was sent again with
	// the same request id. Result is then that of the first execution.
	Resent bool
}
