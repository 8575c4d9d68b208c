package saddleload

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

// Request is one drawn request.
type Request struct {
	ID           fireflysaddle.RequestID
	At           time.Duration // from the start of the run
	Workspace    fireflysaddle.Workspace
	ServiceCall  bool // a call of a plain service
	PromptTokens int
	SharedTokens int // tokens of the prompt that other prompts begin with too
	Template     int // names the shared part
	Prefixes     []saddleroute.Prefix
	MaxTokens    int // what the caller allows
	Tokens       int // what the engine will generate
	Patience     time.Duration
}
