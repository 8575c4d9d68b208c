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

// probeTimeout limits how long an agent may take to answer a ping.
const probeTimeout = 250 * time.Millisecond

// confirmReachable pings the agents of those stages whose targets have failed and not
// succeeded since. It uses new connections. Without the ping, a request to an
// unreachable agent would wait for the whole silence timeout. When an agent does not
// answer, confirmReachable removes the request from the in-flight counts of all stages
// and returns false. Unless ctx is done, it also records a failure of the agent's target
// and adds that target to avoid.
func (s *Server) confirmReachable(ctx context.Context, stages []saddlechain.Stage, avoid map[fireflysaddle.TargetID]bool) bool {
	suspects := s.router.WithOpenCircuit(stages)
	if len(suspects) == 0 {
		return true
	}
	unreachable := s.probe(ctx, suspects)
	if len(unreachable) == 0 {
		return true
	}
	now := time.Now()
	for _, stage := range stages {
		result := saddleroute.Result{Outcome: saddleretry.Neutral}
		if unreachable[stage.Target] && ctx.Err() == nil {
			avoid[stage.Target] = true
			result.Outcome = saddleretry.Failed
		}
		s.router.RecordResult(now, stage, result)
	}
	return false
}

// probe pings the agents of the stages in parallel. It returns the targets whose agents
// do not answer, or answer with another incarnation than the expected one.
func (s *Server) probe(ctx context.Context, stages []saddlechain.Stage) map[fireflysaddle.TargetID]bool {
	countProbes.Add(int64(len(stages)))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	unreachable := map[fireflysaddle.TargetID]bool{}
	for _, stage := range stages {
		wg.Go(func() {
			if s.ping(ctx, stage) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unreachable[stage.Target] = true
		})
	}
	wg.Wait()
	return unreachable
}

func (s *Server) ping(ctx context.Context, stage saddlechain.Stage) bool {
	conn, err := saddlelink.DialWithNetwork(ctx, s.cfg.Network, stage.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	reply, err := saddlewire.NewDRPCAgentClient(conn).Ping(ctx, &saddlewire.PingRequest{})
	return err == nil && reply.GetIncarnation() == uint64(stage.Incarnation)
}
