package saddleentry

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// tryCall sends one attempt of a call. An error is a *RefusedError or a
// *NotSentError where the attempt was not run.
func (s *Server) tryCall(ctx context.Context, c call, number uint32, stage saddlechain.Stage, avoid map[fireflysaddle.TargetID]bool) (*saddlewire.Answer, error) {
	countAttempts.Add(1)
	s.note(time.Now(), "call_attempt", c.caller, number, stage.Target)
	answer, load, err := s.streamCall(ctx, c, number, stage)
	atFault := culprit(ctx, err, stage.Target)
	if atFault != "" {
		avoid[atFault] = true
	}
	s.router.RecordResult(time.Now(), stage, saddleroute.Result{Outcome: outcomeOf(stage.Target, atFault, err), Load: load})
	return answer, err
}

// streamCall sends an attempt to the target's agent and waits for its outcome.
func (s *Server) streamCall(ctx context.Context, c call, number uint32, stage saddlechain.Stage) (*saddlewire.Answer, *saddlewire.Load, error) {
	watch, done := newWatch(ctx, s.cfg.CallSilenceTimeout)
	defer done()
	conn := s.pool.Conn(ctx, stage.Address)
	defer func() { _ = conn.Close() }()
	stream, err := saddlewire.NewDRPCAgentClient(conn).Call(watch.ctx, &saddlewire.CallRequest{
		Ticket:      s.ticket(time.Now(), c.caller, number, stage.Incarnation),
		Group:       c.group,
		Method:      c.method,
		Path:        c.path,
		ContentType: c.contentType,
		Body:        c.body,
		Key:         c.key,
		Stage:       saddlechain.ToWire([]saddlechain.Stage{stage})[0],
	})
	if err != nil {
		return nil, nil, watch.cause(err)
	}
	for {
		e, err := stream.Recv()
		if err != nil {
			return nil, nil, watch.cause(err)
		}
		watch.heard()
		s.cfg.Timeline.Observe(time.Now(), e.GetStamp())
		if !belongs(e, c.request, number, stage.Incarnation) {
			countStrays.Add(1)
			return nil, nil, &strayError{request: e.GetRequest(), attempt: e.GetAttempt()}
		}
		switch event := e.GetEvent().(type) {
		case *saddlewire.CallEvent_Answer:
			return event.Answer, e.GetLoad(), nil
		case *saddlewire.CallEvent_Beat:
			s.router.RecordLoad(time.Now(), stage.Target, e.GetLoad())
		case *saddlewire.CallEvent_Refusal:
			return nil, e.GetLoad(), refusedBy(event.Refusal)
		case *saddlewire.CallEvent_Fault:
			return nil, e.GetLoad(), faultBy(event.Fault)
		}
	}
}
