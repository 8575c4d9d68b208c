package saddleload

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
)

// Request is a generated request.
type Request struct {
	ID                 fireflysaddle.RequestID
	SendAt             time.Duration // time since the start of the run
	Workspace          fireflysaddle.Workspace
	ServiceCall        bool // call of a plain service instead of a draft
	PromptTokens       int
	SharedPrefixTokens int // length of the prefix that all prompts of the template begin with
	Template           int // index of the prompt template
	Prefixes           []saddleroute.Prefix
	MaxTokens          int           // limit of generated tokens that the caller sets
	OutputTokens       int           // number of tokens that the engine generates
	Timeout            time.Duration // time within which the caller needs the answer; 0: no limit
}
