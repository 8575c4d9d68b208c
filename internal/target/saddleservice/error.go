package saddleservice

import "fmt"

// AnswerTooLargeError reports an answer body larger than MaxAnswerBytes.
type AnswerTooLargeError struct {
	Limit int // bytes
}

// Error states the limit.
func (e *AnswerTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}
