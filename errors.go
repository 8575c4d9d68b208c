package fireflysaddle

import (
	"fmt"
	"time"
)

// RefusedError says that a request was refused and not run.
type RefusedError struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // 0: waiting does not help
	Revision   Revision      // CodeStaleRevision: the revision known to the refuser
}

// Error returns the code and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused, not run: %s: %s", e.Code, e.Message)
}

// NotSentError says that a target could not be reached before the first byte
// of a request went out, so that the request was not run.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// TargetError says that a target failed after a request may have reached it.
type TargetError struct {
	Target TargetID
	Err    error
}

// Error names the target and the cause.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q failed: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *TargetError) Unwrap() error { return e.Err }

// LayerRangeError says that a layer range is empty or exceeds its model.
type LayerRangeError struct {
	Range LayerRange
}

// Error gives the range.
func (e *LayerRangeError) Error() string {
	return fmt.Sprintf("layer range %s is not within the model", e.Range)
}

// PositionError says that a step came out of order.
type PositionError struct {
	Request RequestID
	Want    Position
	Got     Position
}

// Error gives both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("request %q: step at position %d, expected %d", e.Request, e.Got, e.Want)
}

// NotLeaderError says that a control replica cannot decide.
type NotLeaderError struct {
	Leader string // address of the leader, empty when unknown
}

// Error names the leader where it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this replica does not lead and knows no leader"
	}
	return fmt.Sprintf("this replica does not lead; the leader is at %s", e.Leader)
}

// OrderError says that an engine refused an order.
type OrderError struct {
	Address      string
	Status       OrderStatus
	FaultyEngine string // address of the engine that is the cause, empty: none is named
}

// OrderStatus says why an engine refused an order.
type OrderStatus string

// The reasons for which engines refuse orders.
const (
	OrderStale    OrderStatus = "stale"    // its state or count of orders is another
	OrderFenced   OrderStatus = "fenced"   // it has seen a higher fencing token
	OrderUnknown  OrderStatus = "unknown"  // it knows no such order
	OrderNotFound OrderStatus = "notfound" // it does not have what the order is about
	OrderMoved    OrderStatus = "moved"    // another engine has its address
	OrderFailed   OrderStatus = "failed"   // any other reason
)

// Error names the engine and the reason.
func (e *OrderError) Error() string {
	return fmt.Sprintf("engine at %s refused the order: %s", e.Address, e.Status)
}
