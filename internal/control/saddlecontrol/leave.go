package saddlecontrol

import (
	"context"
	"errors"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// leaveInterval is the time between two requests to be removed.
const leaveInterval = 100 * time.Millisecond

// surplusEvent asks whether the group needs the vote of this replica.
type surplusEvent struct {
	reply chan bool // of capacity 1
}

func (e surplusEvent) handle(_ time.Time, c *core) { e.reply <- c.replica.Surplus(c.cfg.Node) }

// Leave removes this replica from its group before the process stops, if the group has
// more voters than desired, as after the first half of a planned replacement. As a voter
// that has stopped, it would use up a failure that the group should tolerate, until the
// leader removes it as silent. Leave returns nil once this replica is not a surplus voter.
func (s *Server) Leave(ctx context.Context) error {
	var lastErr error
	for {
		reply := make(chan bool, 1)
		surplus, err := ask(ctx, s, surplusEvent{reply: reply}, reply)
		if err != nil {
			return errors.Join(lastErr, err)
		}
		if !surplus {
			return nil
		}
		if lastErr = s.requestRemoval(ctx); lastErr == nil {
			s.cfg.Log.Info().Str("replica", s.cfg.Node).Msg("surplus replica removed before the process stops")
			return nil
		}
		select {
		case <-ctx.Done():
			return lastErr
		case <-time.After(leaveInterval):
		}
	}
}

// requestRemoval asks the leader, which may be this replica, to remove this replica if it
// is a surplus voter.
func (s *Server) requestRemoval(ctx context.Context) error {
	in := &saddlewire.ReplicaChange{Remove: s.cfg.Node, Surplus: true}
	out, err := s.Change(ctx, in)
	if err == nil && out.GetRefused() && out.GetLeader() != "" {
		out, err = s.requestChange(ctx, out.GetLeader(), in)
	}
	switch {
	case err != nil:
		return err
	case !out.GetResult().GetAccepted():
		return noMajorityError("not removed: " + out.GetResult().GetMessage())
	}
	return nil
}
