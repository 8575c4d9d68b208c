package saddlecontrol

import (
	"context"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	joinInterval = 300 * time.Millisecond // time between join requests; two requests fit in the default election timeout of 600 ms
	joinTimeout  = 800 * time.Millisecond // limit of one join request
)

// maintainMembership sends join requests to the group while no leader confirms this
// replica's state. This brings back a replica whose disk was lost, whose VM is new, or
// that was replaced while it was unreachable. A join request of a replica that is already
// a member has no effect.
func (s *Server) maintainMembership(ctx context.Context) {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	var lastLogged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.core.confirmed.Load() || (s.core.logEmpty.Load() && !s.cfg.Join) { // up to date, or in a new group that has no leader yet
			continue
		}
		err := s.requestJoin(ctx)
		if now := time.Now(); err != nil && now.Sub(lastLogged) > joinLogInterval {
			s.cfg.Log.Warn().Err(err).Strs("contacts", s.cfg.Contacts).Msg("join request not accepted by any leader; retrying")
			lastLogged = now
		}
	}
}

// joinLogInterval limits how often a replica logs that its join requests fail.
const joinLogInterval = 5 * time.Second

// requestJoin sends a join request to each contact, and to the leaders that they name,
// until one accepts it.
func (s *Server) requestJoin(ctx context.Context) error {
	in := &saddlewire.ReplicaChange{Add: s.cfg.Node, Address: s.cfg.Listen}
	lastErr := noMajorityError("no other replica is known")
	tried := map[string]bool{s.cfg.Listen: true}
	for queue := slices.Clone(s.cfg.Contacts); len(queue) > 0; queue = queue[1:] {
		address := queue[0]
		if tried[address] {
			continue
		}
		tried[address] = true
		out, err := s.requestChange(ctx, address, in)
		if err != nil {
			lastErr = err
			continue
		}
		if out.GetResult().GetAccepted() {
			return nil
		}
		if out.GetResult() != nil {
			lastErr = noMajorityError(out.GetResult().GetMessage())
		}
		if out.GetLeader() != "" {
			queue = append(queue, out.GetLeader())
		}
	}
	return lastErr
}

func (s *Server) requestChange(ctx context.Context, address string, in *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return saddlewire.NewDRPCControlClient(s.pool.Conn(ctx, address)).Change(ctx, in)
}
