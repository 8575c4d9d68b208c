package saddleentry

// completionRequest is the body of /v1/completions and /v1/chat/completions. Fields
// that the entry does not use are ignored; the engines' defaults apply.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens uint32    `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// message is one message of a chat conversation.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of an answer, or of one chunk of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix seconds
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice is one alternative of a completion; the entry always returns exactly one.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// usage counts the generated tokens.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32768
)
