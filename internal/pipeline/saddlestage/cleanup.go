package saddlestage

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// idleProbeIntervals is the number of probe intervals without a frame after
// which the head is asked whether the attempt is still running.
const idleProbeIntervals = 2

// maxConcurrentPings bounds the pings to heads of idle sessions.
const maxConcurrentPings = 16

// cleanupLoop drops expired sessions and sessions whose head no longer exists.
func (r *Runner) cleanupLoop() {
	tick := time.NewTicker(r.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case now := <-tick.C:
			for _, k := range r.table.expired(now) {
				r.dropSession(now, k)
			}
			r.dropOrphans(now)
		}
	}
}

// dropOrphans pings the heads of idle sessions. A session is dropped when its
// head does not know the attempt, has restarted, or has left
// maxUnansweredPings pings in a row unanswered.
func (r *Runner) dropOrphans(now time.Time) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPings)
	for _, s := range r.table.idleSessions(now.Add(-idleProbeIntervals * r.cfg.ProbeInterval)) {
		g.Go(func() error {
			head := s.chain[0]
			reply, err := r.ping(r.ctx, head.GetAddress(), s.key)
			known := reply.GetKnown() && reply.GetIncarnation() == head.GetIncarnation()
			if r.ctx.Err() == nil && r.table.recordHeadPing(s.key, err == nil, known) {
				countOrphans.Add(1)
				r.dropSession(now, s.key)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// ping requests an agent's state of an attempt over a new connection.
func (r *Runner) ping(ctx context.Context, address string, k key) (*saddlewire.PingResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(r.cfg.ProbeInterval, pingTimeout))
	defer cancel()
	conn, err := r.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	return saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{Request: k.request, Attempt: k.attempt})
}
