package fireflysaddle

import "context"

// Service is the adapter to a plain service. Implementations are safe for
// concurrent use and never send a request twice.
type Service interface {
	// Call sends a request. It returns a *NotSentError when the service cannot have
	// received it and a *TargetError when the outcome is unknown.
	Call(ctx context.Context, c Call) (Answer, error)
	// Alive returns nil when the service answers.
	Alive(ctx context.Context) error
}

// Call is a request to a plain service.
type Call struct {
	Request     RequestID
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// Answer is a plain service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
