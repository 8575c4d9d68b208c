package saddlecontrol

import (
	"context"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	joinEvery   = 300 * time.Millisecond // between requests to be let in; two fit in an election timeout
	joinTimeout = 800 * time.Millisecond // of one request
)

// keepJoined asks the group to let this replica in while no leader confirms what
// it holds: its disk was lost, its VM is new, or it was replaced while it could
// not be reached. For a replica that the group knows, this changes nothing.
func (s *Server) keepJoined(ctx context.Context) {
	tick := time.NewTicker(joinEvery)
	defer tick.Stop()
	var logged time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.core.confirmed.Load() || (s.core.empty.Load() && !s.cfg.Join) {
			continue
		}
		err := s.askToJoin(ctx)
		if now := time.Now(); err != nil && now.Sub(logged) > logJoinEvery {
			s.cfg.Log.Warn().Err(err).Strs("contacts", s.cfg.Contacts).Msg("no leader lets this replica in; it goes on asking")
			logged = now
		}
	}
}

// logJoinEvery bounds the log lines of a replica that waits to be let in.
const logJoinEvery = 5 * time.Second

// askToJoin asks each replica that is known, and the leader that one names.
func (s *Server) askToJoin(ctx context.Context) error {
	in := &saddlewire.ReplicaChange{Add: s.cfg.Node, Address: s.cfg.Listen}
	last := noMajority("no other replica is known")
	asked := map[string]bool{s.cfg.Listen: true}
	for queue := slices.Clone(s.cfg.Contacts); len(queue) > 0; queue = queue[1:] {
		address := queue[0]
		if asked[address] {
			continue
		}
		asked[address] = true
		out, err := s.requestChange(ctx, address, in)
		if err != nil {
			last = err
			continue
		}
		if out.GetResult().GetAccepted() {
			return nil
		}
		if out.GetResult() != nil {
			last = noMajority(out.GetResult().GetMessage())
		}
		if out.GetLeader() != "" {
			queue = append(queue, out.GetLeader())
		}
	}
	return last
}

func (s *Server) requestChange(ctx context.Context, address string, in *saddlewire.ReplicaChange) (*saddlewire.SubmitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return saddlewire.NewDRPCControlClient(s.pool.Conn(ctx, address)).Change(ctx, in)
}
