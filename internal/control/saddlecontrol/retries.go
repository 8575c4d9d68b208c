package saddlecontrol

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// retryEvent requests retries for an entry.
type retryEvent struct {
	request *saddlewire.RetryRequest
	reply   chan *saddlewire.RetryResponse // of capacity 1
}

func (e retryEvent) handle(now time.Time, c *core) { e.reply <- c.grantRetries(now, e.request) }

func (c *core) grantRetries(now time.Time, in *saddlewire.RetryRequest) *saddlewire.RetryResponse {
	if !c.replica.LeaseValid(now) {
		return &saddlewire.RetryResponse{Leader: c.leaderAddress()}
	}
	granted := c.retryQuota.Grant(now, in.GetGroup(), int(in.GetWant()), int(in.GetLimit()))
	c.cfg.Log.Info().Str("group", in.GetGroup()).Uint32("want", in.GetWant()).Uint32("limit", in.GetLimit()).Int("granted", granted).
		Msg("retries granted")
	return &saddlewire.RetryResponse{Leads: true, Granted: uint32(granted)}
}

// GrantRetries grants an entry up to the requested number of retries. A replica that is
// not a leader with a valid lease grants none and returns the leader's address.
func (s *Server) GrantRetries(ctx context.Context, in *saddlewire.RetryRequest) (*saddlewire.RetryResponse, error) {
	reply := make(chan *saddlewire.RetryResponse, 1)
	return ask(ctx, s, retryEvent{request: in, reply: reply}, reply)
}
