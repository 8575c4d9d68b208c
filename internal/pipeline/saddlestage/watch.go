package saddlestage

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// quietProbes is how many probe times a session hears nothing before its head
// is asked whether it still wants it.
const quietProbes = 2

// orphanPings bounds the heads that are asked at the same time.
const orphanPings = 16

// watch drops the sessions whose time is over or whose head is gone.
func (r *Runner) watch() {
	tick := time.NewTicker(r.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case now := <-tick.C:
			for _, k := range r.table.expired(now) {
				r.drop(now, k)
			}
			r.dropOrphans(now)
		}
	}
}

// dropOrphans asks the heads of quiet sessions. A session is dropped when its
// head does not know it, was started anew, or did not answer for long.
func (r *Runner) dropOrphans(now time.Time) {
	var g errgroup.Group
	g.SetLimit(orphanPings)
	for _, s := range r.table.quiet(now.Add(-quietProbes * r.cfg.ProbeInterval)) {
		g.Go(func() error {
			head := s.chain[0]
			reply, err := r.ping(r.ctx, head.GetAddress(), s.key)
			known := reply.GetKnown() && reply.GetIncarnation() == head.GetIncarnation()
			if r.ctx.Err() == nil && r.table.asked(s.key, err == nil, known) {
				countOrphans.Add(1)
				r.drop(now, s.key)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// ping asks an agent after an attempt over a new connection.
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
