package fireflysaddle

import (
	"fmt"
	"time"
)

// RefusedError reports that a request was refused and not run.
type RefusedError struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // 0: a retry is not expected to succeed
	Revision   Revision      // with CodeStaleRevision: revision known to the process that refused
}

// Error returns the code and the message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused, not run: %s: %s", e.Code, e.Message)
}

// NotSentError reports that connecting to a target or writing a request to it failed.
// The target cannot have received the complete request and did not run it.
type NotSentError struct {
	Address string
	Err     error
}

// Error names the address and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// TargetError reports that a target failed after it may have received a request.
type TargetError struct {
	Target TargetID
	Err    error
	Notice // of the answer, if there was one
}

// Error names the target and the cause.
func (e *TargetError) Error() string {
	return fmt.Sprintf("target %q failed: %v", e.Target, e.Err)
}

// Unwrap returns the cause.
func (e *TargetError) Unwrap() error { return e.Err }

// LayerRangeError reports a layer range that is empty or exceeds its model.
type LayerRangeError struct {
	Range LayerRange
}

// Error names the range.
func (e *LayerRangeError) Error() string {
	return fmt.Sprintf("layer range %s is empty or exceeds the model", e.Range)
}

// PositionError reports a step that arrived out of order.
type PositionError struct {
	Request RequestID
	Want    Position
	Got     Position
}

// Error names both positions.
func (e *PositionError) Error() string {
	return fmt.Sprintf("request %q: step at position %d, expected %d", e.Request, e.Got, e.Want)
}

// NotLeaderError reports that a control replica cannot process a call because it is
// not the leader.
type NotLeaderError struct {
	Leader string // address of the leader, empty when unknown
}

// Error names the leader where it is known.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "this replica is not the leader and knows no leader"
	}
	return fmt.Sprintf("this replica is not the leader; the leader is at %s", e.Leader)
}

// OrderError reports that an engine refused an order.
type OrderError struct {
	Address      string
	Status       OrderStatus
	FaultyEngine string // address of the engine that caused the refusal, empty when the answer names none
}

// OrderStatus is the reason why an engine refused an order.
type OrderStatus string

// The reasons why engines refuse orders.
const (
	OrderStale       OrderStatus = "stale"    // the engine's state or count of accepted orders differs from the expected one
	OrderFenced      OrderStatus = "fenced"   // the engine has accepted a higher fencing token
	OrderUnsupported OrderStatus = "unknown"  // the engine does not support this kind of order; a refusal, not an unknown outcome
	OrderNotFound    OrderStatus = "notfound" // the engine does not have the subject of the order
	OrderMoved       OrderStatus = "moved"    // another engine listens at the address
	OrderFailed      OrderStatus = "failed"   // any other reason
)

// Error returns a text with the engine's address and the status.
func (e *OrderError) Error() string {
	return fmt.Sprintf("engine at %s refused the order: %s", e.Address, e.Status)
}
