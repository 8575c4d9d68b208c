package saddleagent

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlestage"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Draft runs a generation request on the agent's target and streams its tokens.
// The target runs the whole model, or the first stage of a chain.
func (s *Server) Draft(in *saddlewire.DraftRequest, stream saddlewire.DRPCAgent_DraftStream) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	countReceived.Add(1)
	now := time.Now()
	s.cfg.Timeline.Observe(now, in.GetTicket().GetStamp())
	out := newDraftStream(s, in.GetTicket(), stream)
	b, err := s.admit(now, in.GetTicket(), headStage(in), fireflysaddle.KindEngine, true)
	switch {
	case refusalOf(err) != nil:
		return out.sendRefusal(err)
	case err != nil:
		return out.sendResult(b, err)
	}
	out.backend = b
	ctx, cancel := context.WithTimeout(stream.Context(), timeBudget(in.GetTicket()))
	defer cancel()
	go sendHeartbeats(ctx, out.sendHeartbeat)
	err = s.runDraft(ctx, b, in, out)
	if refusal := refusalOf(err); refusal != nil && !out.hasSentToken() {
		s.recordRefusal(in.GetTicket())
		return out.sendRefusal(err)
	}
	return out.sendResult(b, err)
}

// runDraft waits for a free slot of the target and runs the request.
func (s *Server) runDraft(ctx context.Context, b *backend, in *saddlewire.DraftRequest, out *draftStream) error {
	t := in.GetTicket()
	tokens := len(strings.Fields(in.GetPrompt())) + len(in.GetGiven()) + int(in.GetMaxTokens())
	release, err := b.gate.Enter(ctx, newDemand(time.Now(), t, tokens))
	if err != nil {
		return err
	}
	defer release()
	if err := s.recordStart(t); err != nil {
		return err
	}
	defer s.recordFinish(t, nil)
	countStarted.Add(1)
	ctx, cancelLoss := b.cancelOnLoss(ctx)
	defer cancelLoss()
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "draft_start", Request: t.GetRequest(), Attempt: t.GetAttempt(), Target: string(b.id())})
	if len(in.GetChain()) > 1 {
		return s.stages.Drive(ctx, saddlestage.Draft{
			Request:    t.GetRequest(),
			Attempt:    t.GetAttempt(),
			Priority:   t.GetPriority(),
			Chain:      in.GetChain(),
			Spares:     in.GetSpares(),
			Prompt:     in.GetPrompt(),
			Delivered:  in.GetGiven(),
			MaxTokens:  in.GetMaxTokens(),
			Budget:     timeBudget(t),
			OnReplaced: out.sendReplaced,
		}, out.sendToken)
	}
	return b.engine.Generate(ctx, fireflysaddle.Generation{
		Request:   fireflysaddle.RequestID(t.GetRequest()),
		Attempt:   fireflysaddle.Attempt(t.GetAttempt()),
		Priority:  fireflysaddle.Priority(t.GetPriority()),
		Prompt:    in.GetPrompt(),
		Delivered: in.GetGiven(),
		MaxTokens: in.GetMaxTokens(),
	}, out.sendToken)
}

// faultOf returns the fault for an error after which the request may have been
// run.
func faultOf(b *backend, err error) *saddlewire.Fault {
	var lost *saddlestage.LostError
	if errors.As(err, &lost) {
		return &saddlewire.Fault{Target: string(lost.Target), Message: lost.Reason}
	}
	return &saddlewire.Fault{Target: string(b.id()), Message: err.Error()}
}
