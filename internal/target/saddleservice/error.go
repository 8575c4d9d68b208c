package saddleservice

import "fmt"

// AnswerTooLargeError says that a service's answer cannot be passed on whole.
type AnswerTooLargeError struct {
	Limit int // bytes
}

// Error gives the limit.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("the answer exceeds %d bytes", e.Limit)
}
