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
	callTimeout = time.Second // of one try at one replica
	changeName  = "change of the control replicas"
	pause       = 100 * time.Millisecond // between rounds over the replicas
)

// Client calls the control replicas. It is safe for concurrent use.
type Client struct {
	addresses []string
	pool      *saddlelink.Pool
	timeline  *saddletimeline.Ring

	mu     sync.Mutex
	leader string // where the last call was answered
}

// New returns a client of the replicas at these addresses, and its clean-up.
// The time line may be nil.
func New(addresses []string, timeline *saddletimeline.Ring) (*Client, func() error) {
	return NewWithNetwork(saddlelink.TCP{}, addresses, timeline)
}

// NewWithNetwork is New over another network.
func NewWithNetwork(network fireflysaddle.Network, addresses []string, timeline *saddletimeline.Ring) (*Client, func() error) {
	pool, cleanup := saddlelink.NewPoolWithNetwork(network)
	return &Client{addresses: addresses, pool: pool, timeline: timeline}, cleanup
}

// Submit has a command carried out. The command needs a request id. The result
// may be a refusal by the state. An error is a *fireflysaddle.RefusedError when
// nothing was proposed, else an *UnknownOutcomeError.
func (c *Client) Submit(ctx context.Context, command *saddlewire.Command) (*saddlewire.Result, error) {
	outcome, err := c.SubmitOutcome(ctx, command)
	return outcome.Result, err
}

// SubmitOutcome is Submit, and says whether an answer was lost on the way.
func (c *Client) SubmitOutcome(ctx context.Context, command *saddlewire.Command) (Outcome, error) {
	return c.propose(ctx, command.GetRequest(), func(ctx context.Context, address string) (*saddlewire.SubmitResponse, error) {
		in := &saddlewire.SubmitRequest{Command: command, Stamp: c.timeline.Stamp(time.Now())}
		return saddlewire.NewDRPCControlClient(c.pool.Conn(ctx, address)).Submit(ctx, in)
	})
}

// propose calls one replica after another until one answers with a result.
func (c *Client) propose(ctx context.Context, request string, call func(context.Context, string) (*saddlewire.SubmitResponse, error)) (Outcome, error) {
	var result *saddlewire.Result
	maybe := false
	err := c.rounds(ctx, func(ctx context.Context, address string) (string, error) {
		out, err := call(ctx, address)
		var unsent *fireflysaddle.NotSentError
		if err != nil {
			maybe = maybe || !errors.As(err, &unsent)
			return "", err
		}
		c.timeline.Observe(time.Now(), out.GetStamp())
		if out.GetResult() == nil {
			maybe = maybe || !out.GetRefused()
			return out.GetLeader(), &fireflysaddle.NotLeaderError{Leader: out.GetLeader()}
		}
		result = out.GetResult()
		return "", nil
	})
	switch {
	case err == nil:
		return Outcome{Result: result, Resent: maybe}, nil
	case maybe:
		return Outcome{}, &UnknownOutcomeError{Request: request, Err: err}
	}
	return Outcome{}, noMajority(err)
}

// Change adds, removes or replaces a control replica. Asking again for what was
// done is accepted and changes nothing. Errors are as of Submit.
func (c *Client) Change(ctx context.Context, change *saddlewire.ReplicaChange) (*saddlewire.Result, error) {
	outcome, err := c.propose(ctx, changeName, func(ctx context.Context, address string) (*saddlewire.SubmitResponse, error) {
		return saddlewire.NewDRPCControlClient(c.pool.Conn(ctx, address)).Change(ctx, change)
	})
	return outcome.Result, err
}

// Read returns the state as a leader vouches for it.
func (c *Client) Read(ctx context.Context) (*saddlewire.ReadResponse, error) {
	return c.ReadWith(ctx, &saddlewire.ReadRequest{})
}

// ReadWith is Read, and asks for a history if the request names one.
func (c *Client) ReadWith(ctx context.Context, in *saddlewire.ReadRequest) (*saddlewire.ReadResponse, error) {
	var state *saddlewire.ReadResponse
	err := c.rounds(ctx, func(ctx context.Context, address string) (string, error) {
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
		return nil, noMajority(err)
	}
	return state, nil
}

// NoMajorityRetryAfter is when to come back after a refusal: an election takes
// about as long.
const NoMajorityRetryAfter = 2 * time.Second

func noMajority(err error) error {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.CodeNoMajority,
		Message:    "no control replica could decide: " + err.Error(),
		RetryAfter: NoMajorityRetryAfter,
	}
}

// rounds tries the replicas in turn until one succeeds or the context ends. A
// try may name the leader, which is tried next.
func (c *Client) rounds(ctx context.Context, try func(ctx context.Context, address string) (leader string, err error)) error {
	var last error
	for {
		for _, address := range c.order() {
			leader, err := c.once(ctx, address, try)
			if err != nil && leader != "" && leader != address {
				_, err = c.once(ctx, leader, try)
			}
			if err == nil {
				return nil
			}
			last = err
			if ctx.Err() != nil {
				return last
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-time.After(pause):
		}
	}
}

func (c *Client) once(ctx context.Context, address string, try func(context.Context, string) (string, error)) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leader, err := try(ctx, address)
	if err == nil {
		c.mu.Lock()
		c.leader = address
		c.mu.Unlock()
	}
	return leader, err
}

// order returns the addresses, the one that answered last first.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]string, 0, len(c.addresses)+1)
	if c.leader != "" {
		out = append(out, c.leader)
	}
	for _, a := range c.addresses {
		if a != c.leader {
			out = append(out, a)
		}
	}
	return out
}
