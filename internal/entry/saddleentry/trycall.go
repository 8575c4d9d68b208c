package saddleentry

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// tryCall runs one attempt of a call. If the error is a *RefusedError or a
// *NotSentError, the attempt was not run. If the target caused the failure, tryCall adds
// the target to avoid.
func (s *Server) tryCall(ctx context.Context, c call, number uint32, stage saddlechain.Stage, avoid map[fireflysaddle.TargetID]bool) (*saddlewire.Answer, error) {
	countAttempts.Add(1)
	s.traceAttempt(time.Now(), "call_attempt", c.requestMeta, number, stage.Target)
	answer, load, err := s.streamCall(ctx, c, number, stage)
	failedTarget := targetAtFault(ctx, err, stage.Target)
	if failedTarget != "" {
		avoid[failedTarget] = true
	}
	s.router.RecordResult(time.Now(), stage, saddleroute.Result{Outcome: attemptOutcome(stage.Target, failedTarget, err), Load: load})
	return answer, err
}

// streamCall sends an attempt to the target's agent and waits for the outcome. The
// returned load is the one that the agent reports with the outcome, or nil if the
// attempt ends without an outcome from the agent.
func (s *Server) streamCall(ctx context.Context, c call, number uint32, stage saddlechain.Stage) (*saddlewire.Answer, *saddlewire.Load, error) {
	watchdog, done := newWatchdog(ctx, s.cfg.CallSilenceTimeout)
	defer done()
	conn := s.pool.Conn(ctx, stage.Address)
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCAgentClient(conn).Call(watchdog.ctx, &saddlewire.CallRequest{
		Ticket:      s.ticket(time.Now(), c.requestMeta, number, stage.Incarnation),
		Group:       c.group,
		Method:      c.method,
		Path:        c.path,
		ContentType: c.contentType,
		Body:        c.body,
		Key:         c.key,
		Stage:       saddlechain.ToWire([]saddlechain.Stage{stage})[0],
	})
	if err != nil {
		return nil, nil, watchdog.cause(err)
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			return nil, nil, watchdog.cause(err)
		}
		watchdog.reset()
		s.cfg.Timeline.Observe(time.Now(), e.GetStamp())
		if !matchesAttempt(e, c.request, number, stage.Incarnation) {
			countStrayEvents.Add(1)
			return nil, nil, &strayEventError{request: e.GetRequest(), attempt: e.GetAttempt()}
		}
		switch event := e.GetEvent().(type) {
		case *saddlewire.CallEvent_Answer:
			return event.Answer, e.GetLoad(), nil
		case *saddlewire.CallEvent_Beat:
			s.router.RecordLoad(time.Now(), stage.Target, e.GetLoad())
		case *saddlewire.CallEvent_Refusal:
			return nil, e.GetLoad(), refusalError(event.Refusal)
		case *saddlewire.CallEvent_Fault:
			return nil, e.GetLoad(), faultError(event.Fault)
		}
	}
}
