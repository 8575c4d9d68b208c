package saddleentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleroute"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// attempt is one attempt to run a draft.
type attempt struct {
	number    uint32
	chain     saddlechain.Chain
	spares    []saddlechain.Stage // stages with which the chain's head may replace lost ones
	delivered []string            // tokens that the caller already has
	// replaced holds the targets that were replaced by spares during this attempt.
	replaced map[fireflysaddle.TargetID]bool
}

// callerDisconnectedError reports that writing the answer to the caller failed.
type callerDisconnectedError struct {
	err error
}

func (e *callerDisconnectedError) Error() string { return "caller disconnected: " + e.err.Error() }

func (e *callerDisconnectedError) Unwrap() error { return e.err }

// agentEvent is an event that an agent sends for an attempt of a draft or a call.
type agentEvent interface {
	GetRequest() string
	GetAttempt() uint32
	GetIncarnation() uint64
	GetRefusal() *saddlewire.Refusal
}

// matchesAttempt reports whether an event belongs to an attempt. An event of another
// incarnation of the agent is accepted only if it is a refusal with
// CodeWrongIncarnation. Such a refusal proves that the attempt was not run, because an
// attempt is sent only once and this one was received by the wrong incarnation.
func matchesAttempt(e agentEvent, request string, attempt uint32, incarnation fireflysaddle.Incarnation) bool {
	if e.GetRequest() != request || e.GetAttempt() != attempt {
		return false
	}
	return e.GetIncarnation() == uint64(incarnation) ||
		e.GetRefusal().GetCode() == string(fireflysaddle.CodeWrongIncarnation)
}

// strayEventError reports an event on the stream of an attempt to which it does not
// belong.
type strayEventError struct {
	request string
	attempt uint32
}

func (e *strayEventError) Error() string {
	return fmt.Sprintf("received an event of request %q, attempt %d, on the stream of another attempt", e.request, e.attempt)
}

// tryDraft runs one attempt of a draft. If a target caused the attempt to fail, tryDraft
// adds that target to avoid.
func (s *Server) tryDraft(ctx context.Context, d draft, a attempt, avoid map[fireflysaddle.TargetID]bool, onToken func(string) error) error {
	countAttempts.Add(1)
	head := a.chain.Head()
	s.traceAttempt(time.Now(), "draft_attempt", d.requestMeta, a.number, head.Target)
	var throughput throughput
	load, err := s.streamDraft(ctx, d, a, func(text string) error {
		throughput.add(time.Now())
		if throughput.shouldReport() {
			s.router.RecordTokenRate(head.Target, throughput.rate())
		}
		return onToken(text)
	})
	failedTarget := targetAtFault(ctx, err, head.Target)
	if failedTarget != "" {
		avoid[failedTarget] = true
	}
	now := time.Now()
	for _, stage := range a.chain.Stages() {
		result := saddleroute.Result{Outcome: attemptOutcome(stage.Target, failedTarget, err)}
		if a.replaced[stage.Target] {
			result.Outcome = saddleretry.Neutral // already recorded by recordReplacement
		}
		if stage.Target == head.Target {
			result.Load = load
			result.Rate = throughput.rate()
		}
		s.router.RecordResult(now, stage, result)
	}
	return err
}

// targetAtFault returns the target that caused err and that retries should avoid, or
// an empty string. An error that names no target is attributed to the head. Callers
// that disconnect, passed deadlines and stale revisions are not faults of a target.
func targetAtFault(ctx context.Context, err error, head fireflysaddle.TargetID) fireflysaddle.TargetID {
	var disconnected *callerDisconnectedError
	if err == nil || errors.As(err, &disconnected) || ctx.Err() != nil {
		return ""
	}
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) && refused.Code == fireflysaddle.CodeStaleRevision {
		return ""
	}
	var target *fireflysaddle.TargetError
	if errors.As(err, &target) && target.Target != "" {
		return target.Target
	}
	return head
}

// attemptOutcome returns the outcome of an attempt for one of its targets.
func attemptOutcome(target, failedTarget fireflysaddle.TargetID, err error) saddleretry.Outcome {
	switch {
	case err == nil:
		return saddleretry.Succeeded
	case target == failedTarget && !isRefusal(err):
		return saddleretry.Failed
	}
	return saddleretry.Neutral
}

func isRefusal(err error) bool {
	var refused *fireflysaddle.RefusedError
	return errors.As(err, &refused)
}

// streamDraft sends an attempt to the agent of the chain's head and processes the
// events that the agent returns. The returned load is the one that the agent reports
// with its final event, or nil if the attempt ends without such an event.
func (s *Server) streamDraft(ctx context.Context, d draft, a attempt, onToken func(string) error) (*saddlewire.Load, error) {
	watchdog, done := newWatchdog(ctx, s.cfg.CallSilenceTimeout)
	defer done()
	head := a.chain.Head()
	conn := s.pool.Conn(ctx, head.Address)
	defer func() { _ = conn.Close() }()
	meta := d.requestMeta
	meta.deadline = s.end.limit(meta.deadline)
	in := &saddlewire.DraftRequest{
		Ticket:    s.ticket(time.Now(), meta, a.number, head.Incarnation),
		Model:     d.model,
		Chain:     saddlechain.ToWire(a.chain.Stages()),
		Spares:    saddlechain.ToWire(a.spares),
		Prompt:    d.prompt,
		Given:     a.delivered,
		MaxTokens: d.maxTokens - uint32(len(a.delivered)),
	}
	stream, err := saddlewire.NewDRPCAgentClient(conn).Draft(watchdog.ctx, in)
	if err != nil {
		return nil, watchdog.cause(err)
	}
	for position := uint32(0); ; {
		e, err := stream.Recv()
		if err != nil {
			return nil, watchdog.cause(err)
		}
		watchdog.reset()
		s.cfg.Timeline.Observe(time.Now(), e.GetStamp())
		if !matchesAttempt(e, d.request, a.number, head.Incarnation) {
			countStrayEvents.Add(1)
			return nil, &strayEventError{request: e.GetRequest(), attempt: e.GetAttempt()}
		}
		switch event := e.GetEvent().(type) {
		case *saddlewire.DraftEvent_Token:
			if event.Token.GetPosition() != position {
				return nil, &fireflysaddle.PositionError{
					Request: fireflysaddle.RequestID(d.request),
					Want:    fireflysaddle.Position(position),
					Got:     fireflysaddle.Position(event.Token.GetPosition()),
				}
			}
			position++
			if err := onToken(event.Token.GetText()); err != nil {
				return nil, err
			}
		case *saddlewire.DraftEvent_Beat:
			s.router.RecordLoad(time.Now(), head.Target, e.GetLoad())
			s.recordReplacement(time.Now(), a, fireflysaddle.TargetID(e.GetReplaced()))
		case *saddlewire.DraftEvent_Refusal:
			return e.GetLoad(), refusalError(event.Refusal)
		case *saddlewire.DraftEvent_Fault:
			return e.GetLoad(), faultError(event.Fault)
		case *saddlewire.DraftEvent_Done:
			return e.GetLoad(), nil
		}
	}
}

// recordReplacement records the failure of a target that was replaced by a spare.
func (s *Server) recordReplacement(now time.Time, a attempt, target fireflysaddle.TargetID) {
	if target == "" {
		return
	}
	a.replaced[target] = true
	s.router.RecordFailure(now, target)
}

func refusalError(r *saddlewire.Refusal) error {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.Code(r.GetCode()),
		Message:    r.GetMessage(),
		RetryAfter: time.Duration(r.GetRetryMs()) * time.Millisecond,
		Revision:   fireflysaddle.Revision(r.GetRevision()),
	}
}

func faultError(f *saddlewire.Fault) error {
	return &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(f.GetTarget()), Err: errors.New(f.GetMessage())}
}
