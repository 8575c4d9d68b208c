package saddleservice

import "fmt"

// AnswerTooLargeError is the error of an answer that exceeds MaxAnswerBytes.
type AnswerTooLargeError struct {
	Limit int // bytes
}

// Error states the limit.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}
