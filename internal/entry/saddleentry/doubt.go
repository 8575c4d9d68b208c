package saddleentry

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/link/saddlelink"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// vouchTimeout is the time for the agent of a target that failed last to show
// that it is there.
const vouchTimeout = 250 * time.Millisecond

// vouched reports whether the agents of those stages whose targets failed last
// answer over a new connection. A request that were sent to find that out would
// wait for the whole silence time. When one does not answer, the stages are
// given back and its target is added to avoid.
func (s *Server) vouched(ctx context.Context, stages []saddlechain.Stage, avoid map[fireflysaddle.TargetID]bool) bool {
	doubted := s.router.WithOpenCircuit(stages)
	if len(doubted) == 0 {
		return true
	}
	lost := s.silent(ctx, doubted)
	if len(lost) == 0 {
		return true
	}
	now := time.Now()
	for _, stage := range stages {
		result := saddleroute.Result{Outcome: saddleretry.Neutral}
		if lost[stage.Target] && ctx.Err() == nil {
			avoid[stage.Target] = true
			result.Outcome = saddleretry.Failed
		}
		s.router.RecordResult(now, stage, result)
	}
	return false
}

// silent returns the targets whose agents do not answer, asked all at once.
func (s *Server) silent(ctx context.Context, stages []saddlechain.Stage) map[fireflysaddle.TargetID]bool {
	countVouches.Add(int64(len(stages)))
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost := map[fireflysaddle.TargetID]bool{}
	for _, stage := range stages {
		wg.Go(func() {
			if s.answers(ctx, stage) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lost[stage.Target] = true
		})
	}
	wg.Wait()
	return lost
}

func (s *Server) answers(ctx context.Context, stage saddlechain.Stage) bool {
	conn, err := saddlelink.DialWithNetwork(ctx, s.cfg.Network, stage.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reply, err := saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{})
	return err == nil && reply.GetIncarnation() == uint64(stage.Incarnation)
}
