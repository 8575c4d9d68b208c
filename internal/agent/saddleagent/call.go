package saddleagent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// outcomeGrace is the time past its deadline during which a call that must not be
// repeated can still complete, so that its outcome is recorded.
const outcomeGrace = 30 * time.Second

// Call forwards a request to the agent's target, a plain service.
//
// Once a call that must not be repeated has been sent to the target, it is not
// cancelled when the entry's stream fails or the deadline passes. It can still
// complete within outcomeGrace after the deadline. Its outcome is recorded in the
// ledger, from which Seal returns it.
func (s *Server) Call(in *saddlewire.CallRequest, stream saddlewire.DRPCAgent_CallStream) error {
	s.active.Add(1)
	defer s.active.Add(-1)
	countReceived.Add(1)
	now := time.Now()
	t := in.GetTicket()
	s.cfg.Timeline.Observe(now, t.GetStamp())
	out := &callStream{server: s, ticket: t, stream: stream}
	b, err := s.admit(now, t, in.GetStage(), fireflysaddle.KindService, Idempotent(in.GetMethod()))
	switch {
	case refusalOf(err) != nil:
		return out.sendRefusal(err)
	case err != nil:
		return out.sendResult(b, nil, err)
	}
	out.backend = b
	ctx, cancel := context.WithTimeout(stream.Context(), timeBudget(t))
	defer cancel()
	go sendHeartbeats(ctx, out.sendHeartbeat)
	answer, err := s.runCall(ctx, b, in)
	if refusal := refusalOf(err); refusal != nil {
		s.recordRefusal(t)
		return out.sendRefusal(err)
	}
	return out.sendResult(b, answer, err)
}

// Idempotent reports whether a request with this method may be executed more
// than once.
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// callContext returns the context for a call to the service. For a call that may
// not be repeated, the context is not cancelled with its parent: it ends
// outcomeGrace after the parent's deadline.
func callContext(ctx context.Context, idempotent bool) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if idempotent || !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(outcomeGrace))
}

func (s *Server) runCall(ctx context.Context, b *backend, in *saddlewire.CallRequest) (*fireflysaddle.Answer, error) {
	t := in.GetTicket()
	release, err := b.gate.Enter(ctx, newDemand(time.Now(), t, 1))
	if err != nil {
		return nil, err
	}
	defer release()
	if err := s.recordStart(t); err != nil {
		return nil, err
	}
	countStarted.Add(1)
	s.cfg.Timeline.Add(time.Now(), saddletimeline.Event{Name: "call_start", Request: t.GetRequest(), Attempt: t.GetAttempt(), Target: string(b.id())})
	ctx, cancel := callContext(ctx, Idempotent(in.GetMethod()))
	defer cancel()
	answer, err := b.service.Call(ctx, fireflysaddle.Call{
		Request:     fireflysaddle.RequestID(t.GetRequest()),
		Method:      in.GetMethod(),
		Path:        in.GetPath(),
		ContentType: in.GetContentType(),
		Body:        in.GetBody(),
	})
	if refusalOf(err) != nil {
		return nil, err // the request did not reach the service
	}
	if err != nil {
		s.recordFinish(t, nil)
		return nil, err
	}
	s.recordFinish(t, &answer)
	return &answer, nil
}

// callStream sends the events of one call. It is safe for concurrent use. No
// heartbeat follows the last event.
type callStream struct {
	server  *Server
	ticket  *saddlewire.Ticket
	stream  saddlewire.DRPCAgent_CallStream
	backend *backend // backend whose load the events report; nil before admission

	mu    sync.Mutex
	ended bool
}

func (c *callStream) sendHeartbeat() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.send(&saddlewire.CallEvent{
		Event: &saddlewire.CallEvent_Beat{Beat: &saddlewire.Empty{}},
		Load:  loadOf(time.Now(), c.backend),
	})
}

// sendRefusal reports that the call was not run.
func (c *callStream) sendRefusal(err error) error {
	countRefused.Add(1)
	return c.sendLast(c.backend, &saddlewire.CallEvent{Event: &saddlewire.CallEvent_Refusal{Refusal: refusalOf(err)}})
}

func (c *callStream) sendResult(b *backend, answer *fireflysaddle.Answer, err error) error {
	if err == nil {
		return c.sendLast(b, &saddlewire.CallEvent{Event: &saddlewire.CallEvent_Answer{Answer: wireAnswer(answer)}})
	}
	countFaults.Add(1)
	return c.sendLast(b, &saddlewire.CallEvent{Event: &saddlewire.CallEvent_Fault{Fault: faultOf(b, err)}})
}

// sendLast sends the event that ends the call, with the load of b unless b is nil.
func (c *callStream) sendLast(b *backend, e *saddlewire.CallEvent) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if b != nil {
		e.Load = loadOf(time.Now(), b)
	}
	return c.send(e)
}

func (c *callStream) send(e *saddlewire.CallEvent) error {
	e.Request = c.ticket.GetRequest()
	e.Attempt = c.ticket.GetAttempt()
	e.Incarnation = uint64(c.server.cfg.Incarnation)
	e.Stamp = c.server.cfg.Timeline.Stamp(time.Now())
	return c.stream.Send(e)
}

func wireAnswer(a *fireflysaddle.Answer) *saddlewire.Answer {
	if a == nil {
		return nil
	}
	return &saddlewire.Answer{Status: uint32(a.Status), ContentType: a.ContentType, Body: a.Body}
}
