package saddlegateway

import (
	"net/http"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Call is a request that has been read completely.
type Call struct {
	ID      fireflysaddle.RequestID
	Method  string
	Host    string
	URI     string // path and query as received
	Path    string // without the query
	Header  http.Header
	Body    []byte
	Key     string        // API key; empty: none
	Timeout time.Duration // how long the caller waits; 0: not specified

	PromptParts      []fireflysaddle.PromptPart // parts of the prompt that other requests may share, in order
	PromptTokens     int                        // tokens of the prompt
	MaxOutputTokens  int                        // upper bound on output tokens; 0: not specified
	OutputTokensHint int                        // the caller's estimate of the output tokens; 0: none
	LastEventID      string                     // identifier of the last event that the caller received; empty: none
}

// estimatedTokens estimates the total of prompt and output tokens.
func (c *Call) estimatedTokens() int {
	outputTokens := c.OutputTokensHint
	if outputTokens == 0 || (c.MaxOutputTokens > 0 && c.MaxOutputTokens < outputTokens) {
		outputTokens = c.MaxOutputTokens
	}
	return c.PromptTokens + outputTokens
}

// Responder writes the answer to the caller.
type Responder interface {
	// Begin sends the status and header of a target's answer.
	Begin(reply *fireflysaddle.Reply) error
	// Write sends part of the body without buffering.
	Write(p []byte) error
	// Abort terminates an answer that has begun in such a way that the caller can tell
	// that it is incomplete.
	Abort()
	// Refuse sends an error answer of the gateway itself.
	Refuse(r Refusal)
}

// Outcome is what is known about the execution of a request that no target answered.
type Outcome int

// Outcomes of a request that no target answered.
const (
	OutcomeNotRun   Outcome = iota // it has not run and will not run
	OutcomeUnknown                 // it may have run
	OutcomeTimedOut                // its deadline has passed and it may have run
)

// Refusal is an error answer of the gateway itself.
type Refusal struct {
	Code       fireflysaddle.Code
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration // for OutcomeNotRun: delay before a retry; 0: a retry is not expected to succeed
}
