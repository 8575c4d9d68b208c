package saddleclient

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Outcome is how a command ended.
type Outcome struct {
	Result *saddlewire.Result
	// Resent says that an answer was lost and the command was sent again under
	// the same request id; Result is then that of the first one carried out.
	Resent bool
}
