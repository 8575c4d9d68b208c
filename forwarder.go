package fireflysaddle

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"
)

// Forwarder sends requests to targets without agents. Implementations are safe
// for concurrent use and never retry a request by themselves.
type Forwarder interface {
	// Forward sends a request once and returns the response, whose body has not been
	// read yet. An error is a *NotSentError when the target cannot have received the
	// complete request, otherwise a *TargetError. When the context ends, the connection
	// is closed, which cancels the request at the target.
	Forward(ctx context.Context, f Forward) (*Reply, error)
	// Report asks an engine for its state. The field Leaving is valid also with an error.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Dial reports whether a target accepts connections; an error is a *NotSentError.
	Dial(ctx context.Context, address string) error
	// Reroute orders the head of a chain, which is at the address head, to continue a
	// request along another chain with the same head. Engines that are part of both
	// chains retain their KV cache of the request; the others prefill all tokens so far.
	// An error is an *OrderError when the head refused; after any other error the head
	// may still carry out the order.
	Reroute(ctx context.Context, head string, request RequestID, chain []ChainPart) error
}

// Placer sends placement orders to engines without agents. Implementations are safe
// for concurrent use.
type Placer interface {
	// Place orders an engine to hold a range of layers. done reports that the engine
	// has carried out the order; without an error it is false when the engine has only
	// accepted the order. An error is an *OrderError when the engine refused. After any
	// other error the engine may still carry out the order, possibly much later.
	Place(ctx context.Context, address string, order PlaceOrder) (done bool, err error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string) (EngineReport, error)
}

// PlaceOrder is an order to hold a range of layers.
type PlaceOrder struct {
	From, To       int    // layers, To exclusive
	Fence          uint64 // fencing token; increases with each leader and each order
	ExpectedOrders uint64 // the engine refuses the order unless it has accepted exactly this number of orders
}

// EngineReport is an engine's state, which may be slightly out of date.
type EngineReport struct {
	Orders         uint64 // orders accepted since the engine started
	Queued         int
	Running        int
	KVUsed         float64 // KV cache in use that cannot be evicted, in tokens x layers
	StepTimeFactor float64 // step time relative to other engines of its type; above 1: slower
	Stalled        []StalledRequest
	Holdings       []Holding
	Leaving        bool // the engine announced that it is leaving and accepts no new requests
}

// Holding is a range of layers that an engine holds.
type Holding struct {
	From, To int
}

// Holds reports whether one of the ranges that the engine holds includes the layers
// [from, to).
func (r EngineReport) Holds(from, to int) bool {
	return slices.ContainsFunc(r.Holdings, func(h Holding) bool { return h.From <= from && h.To >= to })
}

// StalledRequest is a request that waits for another engine of its chain.
type StalledRequest struct {
	Request RequestID
	Address string // address of the engine that the request waits for
}

// Forward is a request to be sent to a target.
type Forward struct {
	Request     RequestID
	Method      string
	Host        string
	URI         string // path and query as the caller sent them
	Header      http.Header
	Body        []byte
	Target      TargetID
	Address     string
	Workspace   Workspace
	Budget      time.Duration // time until the deadline
	Chain       []ChainPart   // for engines: parts of the chain, of which the first one is at Address
	LastEventID string        // for streams: identifier of the last event that the caller has received, empty: none
	FreshConn   bool          // reuse only connections with a short idle time, which the target is unlikely to close
	IdleConns   int           // idle connections that may be kept to the target after the answer, 0: not known
	NewConn     bool          // reuse no connection: on an earlier one, another answer to this request may still arrive
	Urgency     int           // 0 is the most urgent
}

// ChainPart is an engine of a chain and the layers that it runs.
type ChainPart struct {
	Address  string
	From, To int // layers, To exclusive
}

// Reply is the response of a target. Reading Body returns an error when the response
// is incomplete. Closing Body before its end cancels the request at the target.
type Reply struct {
	Notice
	Status       int
	Header       http.Header // end-to-end headers, to be forwarded to the caller
	Length       int64       // length of the body in bytes, -1: unknown
	Framing      Framing
	Body         io.ReadCloser
	NotRun       bool   // the target reported that it did not run the request
	FaultyEngine string // address of the engine that caused the refusal, empty when the response names none
}
