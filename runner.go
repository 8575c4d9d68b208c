package fireflysaddle

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Forwarder sends requests to targets without agents. Implementations are safe
// for concurrent use and never send a request twice by themselves.
type Forwarder interface {
	// Forward sends a request once and returns the head of the answer. An error
	// is a *NotSentError when the target cannot have received the whole request,
	// else a *TargetError. When the context ends, the target is told by the end
	// of its connection.
	Forward(ctx context.Context, f Forward) (*Reply, error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string) (EngineReport, error)
	// Reroute has the head of a chain go on with a request along another chain
	// with the same head. Engines of both chains keep what they hold of the request,
	// the others read all tokens so far. An error is an *OrderError when the head
	// refused, else it may still go on so.
	Reroute(ctx context.Context, head string, request RequestID, chain []ChainPart) error
}

// Placer gives engines without agents their orders.
type Placer interface {
	// Place orders an engine to hold a range of layers. An error is an
	// *OrderError when the engine answered, else of the connection: then it may
	// still carry out the order, also much later.
	Place(ctx context.Context, address string, order PlaceOrder) (done bool, err error)
	// Report asks an engine for its state.
	Report(ctx context.Context, address string) (EngineReport, error)
}

// PlaceOrder is an order to hold a range of layers.
type PlaceOrder struct {
	From, To       int    // layers, To exclusive
	Fence          uint64 // fencing token: rises with each leader and order
	ExpectedOrders uint64 // orders that the engine has accepted before, as the orderer knows it
}

// EngineReport is an engine's state as of a short while ago.
type EngineReport struct {
	Orders         uint64 // orders accepted since its start
	Queued         int
	Running        int
	KVUsed         float64 // tokens x layers that cannot yield
	StepTimeFactor float64 // above 1: slower than its kind
	Stalled        []StalledRequest
	Holdings       []Holding
}

// Holding is a range of layers that an engine holds.
type Holding struct {
	From, To int
}

// StalledRequest waits for an engine that does not go on.
type StalledRequest struct {
	Request RequestID
	Address string // of the engine waited for
}

// Forward is one request on its way to a target.
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
	Budget      time.Duration // left until the answer is of no use
	Chain       []ChainPart   // engines: the parts that run it, the first one at Address
	LastEventID string        // streams: identifier of the last event that the caller has, empty: none
	Fresh       bool          // use a connection that has not been idle for long
	Urgency     int           // 0 goes first
}

// ChainPart is one part of a chain of engines.
type ChainPart struct {
	Address  string
	From, To int // layers, To exclusive
}

// Reply is the answer of a target. Body returns an error when the answer breaks
// off. Closing it early ends the request at the target.
type Reply struct {
	Status       int
	Header       http.Header // to be handed on
	Length       int64       // of the body, -1: unknown
	Body         io.ReadCloser
	NotRun       bool   // the target says that it did not run the request
	FaultyEngine string // address of the engine that the target names as the cause
}
