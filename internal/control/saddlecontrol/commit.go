package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// leaderTimeout bounds one call to the leader: an outside caller turns to another
// replica after a second.
const leaderTimeout = 800 * time.Millisecond

// Commit has a command carried out by the leader, wherever it is, and returns its
// result. The command must be one that may be carried out twice. An error is a
// *fireflysaddle.RefusedError when nothing was proposed, else an
// *saddleclient.UnknownOutcomeError.
func (s *Server) Commit(ctx context.Context, command *saddlewire.Command) (*saddlewire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	in := &saddlewire.SubmitRequest{Command: command, Stamp: s.cfg.Timeline.Stamp(time.Now())}
	out, err := s.Submit(ctx, in)
	if err == nil && out.GetRefused() && out.GetLeader() != "" && out.GetLeader() != s.cfg.Listen {
		out, err = saddlewire.NewDRPCControlClient(s.pool.Conn(ctx, out.GetLeader())).Submit(ctx, in)
	}
	switch {
	case err != nil:
		return nil, &saddleclient.UnknownOutcomeError{Request: command.GetRequest(), Err: err}
	case out.GetRefused():
		return nil, noMajority("no leader with a majority is known")
	case out.GetResult() == nil:
		return nil, &saddleclient.UnknownOutcomeError{Request: command.GetRequest(), Err: noMajority("the leader changed")}
	case !out.GetResult().GetAccepted():
		return out.GetResult(), &fireflysaddle.RefusedError{
			Code: fireflysaddle.Code(out.GetResult().GetCode()), Message: out.GetResult().GetMessage(),
		}
	}
	return out.GetResult(), nil
}

// CurrentRouting returns the routing configuration that the leader vouches for as
// the newest, nil before the first.
func (s *Server) CurrentRouting(ctx context.Context) (*saddlewire.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	own, err := s.FetchRouting(ctx, &saddlewire.RoutingRequest{Confirmed: true})
	if err != nil {
		return nil, err
	}
	if own.GetCurrent() {
		return own.GetRouting(), nil
	}
	if own.GetLeader() == "" || own.GetLeader() == s.cfg.Listen {
		return nil, noMajority("no leader with a majority is known")
	}
	in := &saddlewire.RoutingRequest{Confirmed: true, Have: own.GetVersion()}
	out, err := saddlewire.NewDRPCControlClient(s.pool.Conn(ctx, own.GetLeader())).FetchRouting(ctx, in)
	switch {
	case err != nil:
		return nil, noMajority("the leader at " + own.GetLeader() + " does not answer: " + err.Error())
	case !out.GetCurrent():
		return nil, noMajority("the leader at " + own.GetLeader() + " lost its majority")
	case out.GetVersion() == own.GetVersion():
		return own.GetRouting(), nil
	}
	return out.GetRouting(), nil
}

func noMajority(message string) error {
	return &fireflysaddle.RefusedError{
		Code: fireflysaddle.CodeNoMajority, Message: message, RetryAfter: saddleclient.NoMajorityRetryAfter,
	}
}

// routingEvent asks for the routing configuration.
type routingEvent struct {
	request *saddlewire.RoutingRequest
	reply   chan *saddlewire.RoutingResponse // of capacity 1
}

func (e routingEvent) handle(now time.Time, c *core) { e.reply <- c.routing(now, e.request) }

// routing returns the routing configuration as applied here, and whether this
// replica vouches for it.
func (c *core) routing(now time.Time, in *saddlewire.RoutingRequest) *saddlewire.RoutingResponse {
	held := c.state.Routing()
	out := &saddlewire.RoutingResponse{
		Current: c.replica.LeaseValid(now),
		Leader:  c.leaderAddress(),
		Version: held.GetVersion(),
	}
	if held.GetVersion() > 0 && held.GetVersion() != in.GetHave() {
		out.Routing = held
	}
	return out
}

// FetchRouting returns the routing configuration.
func (s *Server) FetchRouting(ctx context.Context, in *saddlewire.RoutingRequest) (*saddlewire.RoutingResponse, error) {
	reply := make(chan *saddlewire.RoutingResponse, 1)
	return ask(ctx, s, routingEvent{request: in, reply: reply}, reply)
}
