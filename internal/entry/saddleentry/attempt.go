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

// attempt is one try of a draft.
type attempt struct {
	number uint32
	chain  saddlechain.Chain
	spares []saddlechain.Stage // for the chain's head to replace lost stages with
	given  []string            // tokens that the caller has
	// replaced are the targets that spares took over from in this attempt.
	replaced map[fireflysaddle.TargetID]bool
}

// callerGoneError says that the caller takes no more of its answer.
type callerGoneError struct {
	err error
}

func (e *callerGoneError) Error() string { return "the caller is gone: " + e.err.Error() }

func (e *callerGoneError) Unwrap() error { return e.err }

// event is an event of an attempt of a draft or a call.
type event interface {
	GetRequest() string
	GetAttempt() uint32
	GetIncarnation() uint64
	GetRefusal() *saddlewire.Refusal
}

// belongs reports whether an event belongs to an attempt. A later incarnation
// of the agent may only say that the attempt was meant for the one before: that
// copy, the only one sent, was not run.
func belongs(e event, request string, attempt uint32, incarnation fireflysaddle.Incarnation) bool {
	if e.GetRequest() != request || e.GetAttempt() != attempt {
		return false
	}
	return e.GetIncarnation() == uint64(incarnation) ||
		e.GetRefusal().GetCode() == string(fireflysaddle.CodeWrongIncarnation)
}

// strayError says that an event does not belong to the attempt it came for.
type strayError struct {
	request string
	attempt uint32
}

func (e *strayError) Error() string {
	return fmt.Sprintf("an event of request %q, attempt %d, came on another's stream", e.request, e.attempt)
}

// tryDraft runs one attempt. A target found at fault is added to avoid.
func (s *Server) tryDraft(ctx context.Context, d draft, a attempt, avoid map[fireflysaddle.TargetID]bool, take func(string) error) error {
	countAttempts.Add(1)
	head := a.chain.Head()
	s.note(time.Now(), "draft_attempt", d.caller, a.number, head.Target)
	var pace pace
	load, err := s.streamDraft(ctx, d, a, func(text string) error {
		pace.token(time.Now())
		if pace.due() {
			s.router.RecordTokenRate(head.Target, pace.rate())
		}
		return take(text)
	})
	atFault := culprit(ctx, err, head.Target)
	if atFault != "" {
		avoid[atFault] = true
	}
	now := time.Now()
	for _, stage := range a.chain.Stages() {
		result := saddleroute.Result{Outcome: outcomeOf(stage.Target, atFault, err)}
		if a.replaced[stage.Target] {
			result.Outcome = saddleretry.Neutral // it was noted when it was replaced
		}
		if stage.Target == head.Target {
			result.Load = load
			result.Rate = pace.rate()
		}
		s.router.RecordResult(now, stage, result)
	}
	return err
}

// culprit returns the target to avoid after an error, if any.
func culprit(ctx context.Context, err error, head fireflysaddle.TargetID) fireflysaddle.TargetID {
	var gone *callerGoneError
	if err == nil || errors.As(err, &gone) || ctx.Err() != nil {
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

// outcomeOf returns what the end of an attempt says about one of its targets.
func outcomeOf(target, atFault fireflysaddle.TargetID, err error) saddleretry.Outcome {
	switch {
	case err == nil:
		return saddleretry.Succeeded
	case target == atFault && !isRefusal(err):
		return saddleretry.Failed
	}
	return saddleretry.Neutral
}

func isRefusal(err error) bool {
	var refused *fireflysaddle.RefusedError
	return errors.As(err, &refused)
}

// streamDraft sends an attempt to its head's agent and takes in the events.
func (s *Server) streamDraft(ctx context.Context, d draft, a attempt, take func(string) error) (*saddlewire.Load, error) {
	watch, done := newWatch(ctx, s.cfg.CallSilenceTimeout)
	defer done()
	head := a.chain.Head()
	conn := s.pool.Conn(ctx, head.Address)
	defer func() { _ = conn.Close() }()
	in := &saddlewire.DraftRequest{
		Ticket:    s.ticket(time.Now(), d.caller, a.number, head.Incarnation),
		Model:     d.model,
		Chain:     saddlechain.ToWire(a.chain.Stages()),
		Spares:    saddlechain.ToWire(a.spares),
		Prompt:    d.prompt,
		Given:     a.given,
		MaxTokens: d.maxTokens - uint32(len(a.given)),
	}
	stream, err := saddlewire.NewDRPCAgentClient(conn).Draft(watch.ctx, in)
	if err != nil {
		return nil, watch.cause(err)
	}
	for position := uint32(0); ; {
		e, err := stream.Recv()
		if err != nil {
			return nil, watch.cause(err)
		}
		watch.heard()
		s.cfg.Timeline.Observe(time.Now(), e.GetStamp())
		if !belongs(e, d.request, a.number, head.Incarnation) {
			countStrays.Add(1)
			return nil, &strayError{request: e.GetRequest(), attempt: e.GetAttempt()}
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
			if err := take(event.Token.GetText()); err != nil {
				return nil, err
			}
		case *saddlewire.DraftEvent_Beat:
			s.router.RecordLoad(time.Now(), head.Target, e.GetLoad())
			s.noteReplaced(time.Now(), a, fireflysaddle.TargetID(e.GetReplaced()))
		case *saddlewire.DraftEvent_Refusal:
			return e.GetLoad(), refusedBy(event.Refusal)
		case *saddlewire.DraftEvent_Fault:
			return e.GetLoad(), faultBy(event.Fault)
		case *saddlewire.DraftEvent_Done:
			return e.GetLoad(), nil
		}
	}
}

// noteReplaced opens the circuit of a target that a spare took over from.
func (s *Server) noteReplaced(now time.Time, a attempt, target fireflysaddle.TargetID) {
	if target == "" {
		return
	}
	a.replaced[target] = true
	s.router.RecordFailure(now, target)
}

func refusedBy(r *saddlewire.Refusal) error {
	return &fireflysaddle.RefusedError{
		Code:       fireflysaddle.Code(r.GetCode()),
		Message:    r.GetMessage(),
		RetryAfter: time.Duration(r.GetRetryMs()) * time.Millisecond,
		Revision:   fireflysaddle.Revision(r.GetRevision()),
	}
}

func faultBy(f *saddlewire.Fault) error {
	return &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(f.GetTarget()), Err: errors.New(f.GetMessage())}
}
