package saddleclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	callTimeout       = time.Second                      // limit of one call to one replica
	changeRequestName = "change of the control replicas" // used in place of a request id, which a change does not have
	roundInterval     = 100 * time.Millisecond           // pause after all replicas were tried
	// minCallTime is the time that a further call must have left before the context's
	// deadline. A call that the deadline cuts off could make the outcome of a command
	// unknown that no replica has proposed. Replicas of the same region answer in a few
	// milliseconds.
	minCallTime = 100 * time.Millisecond
)

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	addresses []string
	pool      *saddlelink.Pool
	timeline  *saddletimeline.Ring

	mu            sync.Mutex
	lastResponder string // address of the replica that answered the last successful call
}

// New returns a client of the replicas at these addresses, and a function that
// closes its connections. The timeline may be nil.
func New(addresses []string, timeline *saddletimeline.Ring) (*Client, func() error) {
	return NewWithNetwork(saddlelink.TCP{}, addresses, timeline)
}

// NewWithNetwork is like New, but connects over the given network instead of TCP.
func NewWithNetwork(network fireflysaddle.Network, addresses []string, timeline *saddletimeline.Ring) (*Client, func() error) {
	pool, cleanup := saddlelink.NewPoolWithNetwork(network)
	return &Client{addresses: addresses, pool: pool, timeline: timeline}, cleanup
}

// Submit proposes a command and returns its result, which may be a refusal by
// the state machine. The command needs a request id. The error is a
// *fireflysaddle.RefusedError if the command was certainly not proposed, and an
// *UnknownOutcomeError otherwise.
func (c *Client) Submit(ctx context.Context, command *saddlewire.Command) (*saddlewire.Result, error) {
	outcome, err := c.SubmitOutcome(ctx, command)
	return outcome.Result, err
}

// SubmitOutcome is like Submit, but also reports whether an answer was lost.
func (c *Client) SubmitOutcome(ctx context.Context, command *saddlewire.Command) (Outcome, error) {
	return c.propose(ctx, command.GetRequest(), func(ctx context.Context, address string) (*saddlewire.SubmitResponse, error) {
		in := &saddlewire.SubmitRequest{Command: command, Stamp: c.timeline.Stamp(time.Now())}
		return saddlewire.NewDRPCControlClient(c.pool.Conn(ctx, address)).Submit(ctx, in)
	})
}

// propose calls one replica after another until one answers with a result. The request id
// is used only in an *UnknownOutcomeError.
func (c *Client) propose(ctx context.Context, request string, call func(context.Context, string) (*saddlewire.SubmitResponse, error)) (Outcome, error) {
	var result *saddlewire.Result
	maybeProposed := false
	err := c.tryReplicas(ctx, func(ctx context.Context, address string) (string, error) {
		out, err := call(ctx, address)
		var notSent *fireflysaddle.NotSentError
		if err != nil {
			maybeProposed = maybeProposed || !errors.As(err, &notSent)
			return "", err
		}
		c.timeline.Observe(time.Now(), out.GetStamp())
		if out.GetResult() == nil {
			maybeProposed = maybeProposed || !out.GetRefused()
			return out.GetLeader(), &fireflysaddle.NotLeaderError{Leader: out.GetLeader()}
		}
		result = out.GetResult()
		return "", nil
	})
	switch {
	case err == nil:
		return Outcome{Result: result, Resent: maybeProposed}, nil
	case maybeProposed:
		return Outcome{}, &UnknownOutcomeError{Request: request, Err: err}
	}
	return Outcome{}, noMajorityError(err)
}

// Change adds, removes or replaces a control replica. A change that is already
// in effect is accepted. Errors are those of Submit.
func (c *Client) Change(ctx context.Context, change *saddlewire.ReplicaChange) (*saddlewire.Result, error) {
	outcome, err := c.propose(ctx, changeRequestName, func(ctx context.Context, address string) (*saddlewire.SubmitResponse, error) {
		return saddlewire.NewDRPCControlClient(c.pool.Conn(ctx, address)).Change(ctx, change)
	})
	return outcome.Result, err
}

// Read returns the state as confirmed by the leader.
func (c *Client) Read(ctx context.Context) (*saddlewire.ReadResponse, error) {
	return c.ReadWith(ctx, &saddlewire.ReadRequest{})
}

// ReadWith is like Read, but also returns a history if the request names one.
func (c *Client) ReadWith(ctx context.Context, in *saddlewire.ReadRequest) (*saddlewire.ReadResponse, error) {
	var state *saddlewire.ReadResponse
	err := c.tryReplicas(ctx, func(ctx context.Context, address string) (string, error) {
		out, err := saddlewire.NewDRPCControlClient(c.pool.Conn(ctx, address)).Read(ctx, in)
		if err != nil {
			return "", err
		}
		if !out.GetCurrent() {
			return out.GetLeader(), &fireflysaddle.NotLeaderError{Leader: out.GetLeader()}
		}
		state = out
		return "", nil
	})
	if err != nil {
		return nil, noMajorityError(err)
	}
	return state, nil
}

// NoMajorityRetryAfter is the recommended delay of a retry after a refusal with
// fireflysaddle.CodeNoMajority. An election takes about as long.
const NoMajorityRetryAfter = 2 * time.Second

func noMajorityError(err error) error {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoMajority,
		Message:    "no control leader with a majority was reached: " + err.Error(),
		RetryAfter: NoMajorityRetryAfter,
	}
}

// tryReplicas calls try for one replica after another until it succeeds, the context ends
// or less than minCallTime remains for a further call. If a failed try returns the address
// of the leader, the leader is tried next.
func (c *Client) tryReplicas(ctx context.Context, try func(ctx context.Context, address string) (leader string, err error)) error {
	var lastErr error
	for {
		for _, address := range c.replicaOrder() {
			leader, err := c.tryReplica(ctx, address, try)
			if err != nil && leader != "" && leader != address && hasTimeForCall(ctx, time.Now()) {
				_, err = c.tryReplica(ctx, leader, try)
			}
			if err == nil {
				return nil
			}
			lastErr = err
			if !hasTimeForCall(ctx, time.Now()) {
				return lastErr
			}
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(roundInterval):
		}
		if !hasTimeForCall(ctx, time.Now()) {
			return lastErr
		}
	}
}

// hasTimeForCall reports whether the context allows a call that takes minCallTime.
func hasTimeForCall(ctx context.Context, now time.Time) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || deadline.Sub(now) >= minCallTime)
}

func (c *Client) tryReplica(ctx context.Context, address string, try func(context.Context, string) (string, error)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leader, err := try(ctx, address)
	if err == nil {
		c.mu.Lock()
		c.lastResponder = address
		c.mu.Unlock()
	}
	return leader, err
}

// replicaOrder returns the addresses to try, beginning with lastResponder.
func (c *Client) replicaOrder() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.addresses)+1)
	if c.lastResponder != "" {
		out = append(out, c.lastResponder)
	}
	for _, a := range c.addresses {
		if a != c.lastResponder {
			out = append(out, a)
		}
	}
	return out
}
