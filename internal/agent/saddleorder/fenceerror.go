package saddleorder

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
)

// FenceError says that wanted state is older than one that was seen.
type FenceError struct {
	Got     fireflysaddle.Fence
	Highest fireflysaddle.Fence
}

// Error gives both fences.
func (e *FenceError) Error() string {
	return fmt.Sprintf("fence (%d, %d) is below (%d, %d)", e.Got.Term, e.Got.Sequence, e.Highest.Term, e.Highest.Sequence)
}
