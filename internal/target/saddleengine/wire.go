package saddleengine

// The paths of an engine's interface.
const (
	PathGenerate = "/v1/generate"
	PathStep     = "/v1/step"
	PathCancel   = "/v1/cancel"
	PathExport   = "/v1/kv/export"
	PathImport   = "/v1/kv/import"
	PathOrders   = "/v1/orders"
	PathAlive    = "/v1/alive"
)

// GenerateRequest is the request of PathGenerate; the answer is a stream of
// GenerateLine, one JSON object a line.
type GenerateRequest struct {
	Request   string   `json:"request"`
	Attempt   uint32   `json:"attempt"`
	Priority  int32    `json:"priority"`
	Prompt    string   `json:"prompt"`
	Delivered []string `json:"given,omitempty"`
	MaxTokens uint32   `json:"max_tokens"`
}

// GenerateLine is one token, or the end.
type GenerateLine struct {
	Text string `json:"text,omitempty"`
	Done bool   `json:"done,omitempty"`
}

// StepRequest is the request of PathStep.
type StepRequest struct {
	Request    string   `json:"request"`
	Attempt    uint32   `json:"attempt"`
	Priority   int32    `json:"priority"`
	Position   uint32   `json:"position"`
	Prompt     string   `json:"prompt,omitempty"`
	Delivered  []string `json:"given,omitempty"`
	Token      string   `json:"token,omitempty"`
	Activation []byte   `json:"activation,omitempty"`
	Count      uint32   `json:"count,omitempty"`
}

// StepAnswer answers StepRequest.
type StepAnswer struct {
	Activation []byte `json:"activation,omitempty"`
	Count      uint32 `json:"count"`
	Token      string `json:"token,omitempty"`
}

// AttemptRequest names an attempt; it is the request of PathCancel and PathExport.
type AttemptRequest struct {
	Request string `json:"request"`
	Attempt uint32 `json:"attempt"`
}

// KVCacheBody is the request of PathImport and the answer of PathExport.
type KVCacheBody struct {
	Request   string `json:"request"`
	Attempt   uint32 `json:"attempt"`
	Positions uint32 `json:"positions"`
	Data      []byte `json:"data"`
}

// OrderRequest is the request of PathOrders.
type OrderRequest struct {
	Term     uint64 `json:"term"`
	Sequence uint64 `json:"sequence"`
	Action   string `json:"action"`
	Subject  string `json:"subject"`
}
