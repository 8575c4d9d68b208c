package saddlebudget

import "fmt"

// ExhaustedError reports that an answer would hold more than its target may hold at present.
type ExhaustedError struct {
	Address string // of the target
	Wanted  Size
	Held    Size // by all answers of the target, beyond their base shares
	Free    Size // of the budget
}

// Error states the amounts.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("no memory for the answer of %s: %d bytes wanted, %d held by answers of this target, %d free", e.Address, e.Wanted, e.Held, e.Free)
}
