package saddlegateway

import (
	"net/http"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Call is a caller's request, read whole.
type Call struct {
	ID      fireflysaddle.RequestID
	Method  string
	Host    string
	URI     string // path and query as they were sent
	Path    string // without the query
	Header  http.Header
	Body    []byte
	Key     string        // API key, empty: none
	Timeout time.Duration // that the caller waits, 0: it names none

	PromptTokens     int    // tokens in
	MaxOutputTokens  int    // most tokens out, 0: not named
	OutputTokensHint int    // the caller's estimate of the tokens out, 0: none
	LastEventID      string // identifier of the last event that the caller has, empty: none
}

// tokens estimates the tokens that a request takes until its end.
func (c *Call) tokens() int {
	answer := c.OutputTokensHint
	if answer == 0 || (c.MaxOutputTokens > 0 && c.MaxOutputTokens < answer) {
		answer = c.MaxOutputTokens
	}
	return c.PromptTokens + answer
}

// Responder gives a caller its answer.
type Responder interface {
	// Begin sends the head of a target's answer.
	Begin(reply *fireflysaddle.Reply) error
	// Write sends a part of the body at once.
	Write(p []byte) error
	// Abort ends an answer that began so that it does not look whole.
	Abort()
	// Refuse sends an answer of this process.
	Refuse(r Refusal)
}

// Outcome says what is known of a request that got no answer of a target.
type Outcome int

// The outcomes.
const (
	OutcomeNotRun   Outcome = iota // it has not run and never will
	OutcomeUnknown                 // it may have run
	OutcomeTimedOut                // its time is over and it may have run
)

// Refusal is an answer of this process.
type Refusal struct {
	Code       fireflysaddle.Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // OutcomeNotRun: when to come back, 0: waiting does not help
}
