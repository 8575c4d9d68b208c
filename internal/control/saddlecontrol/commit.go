package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// leaderTimeout bounds one call to the leader. It is less than 1 s, because an external
// caller tries another replica after 1 s.
const leaderTimeout = 800 * time.Millisecond

// Commit submits a command to the leader, which may be this or another replica, and
// returns its result. The command must be idempotent. An error is a
// *fireflysaddle.RefusedError if nothing was proposed or the state machine refused the
// command, and a *saddleclient.UnknownOutcomeError otherwise.
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
		return nil, noMajorityError("no leader with a majority is known")
	case out.GetResult() == nil:
		return nil, &saddleclient.UnknownOutcomeError{Request: command.GetRequest(), Err: noMajorityError("the leader changed")}
	case !out.GetResult().GetAccepted():
		return out.GetResult(), &fireflysaddle.RefusedError{
			Code: fireflysaddle.Code(out.GetResult().GetCode()), Message: out.GetResult().GetMessage(),
		}
	}
	return out.GetResult(), nil
}

// CurrentRouting returns the newest routing configuration as confirmed by a leader
// with a valid lease, or nil if none is stored yet.
func (s *Server) CurrentRouting(ctx context.Context) (*saddlewire.Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	local, err := s.FetchRouting(ctx, &saddlewire.RoutingRequest{Confirmed: true})
	if err != nil {
		return nil, err
	}
	if local.GetCurrent() {
		return local.GetRouting(), nil
	}
	if local.GetLeader() == "" || local.GetLeader() == s.cfg.Listen {
		return nil, noMajorityError("no leader with a majority is known")
	}
	in := &saddlewire.RoutingRequest{Confirmed: true, Have: local.GetVersion()}
	out, err := saddlewire.NewDRPCControlClient(s.pool.Conn(ctx, local.GetLeader())).FetchRouting(ctx, in)
	switch {
	case err != nil:
		return nil, noMajorityError("the leader at " + local.GetLeader() + " does not answer: " + err.Error())
	case !out.GetCurrent():
		return nil, noMajorityError("the leader at " + local.GetLeader() + " lost its majority")
	case out.GetVersion() == local.GetVersion():
		return local.GetRouting(), nil
	}
	return out.GetRouting(), nil
}

func noMajorityError(message string) error {
	return &fireflysaddle.RefusedError{
		Code: fireflysaddle.CodeNoMajority, Message: message, RetryAfter: saddleclient.NoMajorityRetryAfter,
	}
}

// routingEvent requests the routing configuration.
type routingEvent struct {
	request *saddlewire.RoutingRequest
	reply   chan *saddlewire.RoutingResponse // of capacity 1
}

func (e routingEvent) handle(now time.Time, c *core) { e.reply <- c.routing(now, e.request) }

// routing returns the routing configuration as applied on this replica, and whether
// a valid lease confirms that it is current. The response omits the content of the
// configuration if the caller already has this version.
func (c *core) routing(now time.Time, in *saddlewire.RoutingRequest) *saddlewire.RoutingResponse {
	current := c.state.Routing()
	out := &saddlewire.RoutingResponse{
		Current: c.replica.LeaseValid(now),
		Leader:  c.leaderAddress(),
		Version: current.GetVersion(),
	}
	if current.GetVersion() > 0 && current.GetVersion() != in.GetHave() {
		out.Routing = current
	}
	return out
}

// FetchRouting returns the routing configuration as applied on this replica.
func (s *Server) FetchRouting(ctx context.Context, in *saddlewire.RoutingRequest) (*saddlewire.RoutingResponse, error) {
	reply := make(chan *saddlewire.RoutingResponse, 1)
	return ask(ctx, s, routingEvent{request: in, reply: reply}, reply)
}
