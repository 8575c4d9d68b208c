package saddleagent

import (
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// draftStream sends the events of one attempt. It is safe for concurrent use.
// No heartbeat follows the last event.
type draftStream struct {
	server  *Server
	ticket  *saddlewire.Ticket
	stream  saddlewire.DRPCAgent_DraftStream
	backend *backend // backend whose load the events report; nil before admission

	mu       sync.Mutex
	position uint32 // position of the next token
	ended    bool

	// event, tokenEvent and tokenBody form the event of a token. They are reused for
	// every token, because Send does not retain them.
	event      saddlewire.DraftEvent
	tokenEvent saddlewire.DraftEvent_Token
	tokenBody  saddlewire.Token
}

func newDraftStream(s *Server, t *saddlewire.Ticket, stream saddlewire.DRPCAgent_DraftStream) *draftStream {
	return &draftStream{server: s, ticket: t, stream: stream}
}

// hasSentToken reports whether at least one token was sent.
func (d *draftStream) hasSentToken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position > 0
}

func (d *draftStream) sendToken(text string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tokenEvent.Token = &d.tokenBody
	d.tokenBody.Position = d.position
	d.tokenBody.Text = text
	d.event.Event = &d.tokenEvent
	d.position++
	countTokens.Add(1)
	return d.send(&d.event)
}

func (d *draftStream) sendHeartbeat() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return nil
	}
	e := &saddlewire.DraftEvent{Event: &saddlewire.DraftEvent_Beat{Beat: &saddlewire.Empty{}}}
	e.Load = loadOf(time.Now(), d.backend)
	return d.send(e)
}

// sendReplaced reports to the entry that a spare has replaced target, so that the
// entry sends no further requests to target. It ignores a send error, because the
// next sendToken fails as well.
func (d *draftStream) sendReplaced(target fireflysaddle.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.send(&saddlewire.DraftEvent{
		Event:    &saddlewire.DraftEvent_Beat{Beat: &saddlewire.Empty{}},
		Load:     loadOf(time.Now(), d.backend),
		Replaced: string(target),
	})
}

// sendRefusal reports that the attempt was not run.
func (d *draftStream) sendRefusal(err error) error {
	countRefused.Add(1)
	return d.sendLast(d.backend, &saddlewire.DraftEvent{Event: &saddlewire.DraftEvent_Refusal{Refusal: refusalOf(err)}})
}

// sendResult reports that the attempt has completed, or the fault that ended it.
func (d *draftStream) sendResult(b *backend, err error) error {
	if err == nil {
		return d.sendLast(b, &saddlewire.DraftEvent{Event: &saddlewire.DraftEvent_Done{Done: &saddlewire.Empty{}}})
	}
	countFaults.Add(1)
	fault := faultOf(b, err)
	d.server.cfg.Timeline.Add(time.Now(), saddletimeline.Event{
		Name: "draft_fault", Request: d.ticket.GetRequest(), Attempt: d.ticket.GetAttempt(), Target: fault.GetTarget(),
	})
	return d.sendLast(b, &saddlewire.DraftEvent{Event: &saddlewire.DraftEvent_Fault{Fault: fault}})
}

// sendLast sends the event that ends the attempt, with the load of b unless b is nil.
func (d *draftStream) sendLast(b *backend, e *saddlewire.DraftEvent) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if b != nil {
		e.Load = loadOf(time.Now(), b)
	}
	return d.send(e)
}

func (d *draftStream) send(e *saddlewire.DraftEvent) error {
	e.Request = d.ticket.GetRequest()
	e.Attempt = d.ticket.GetAttempt()
	e.Incarnation = uint64(d.server.cfg.Incarnation)
	if e.GetToken() == nil {
		e.Stamp = d.server.cfg.Timeline.Stamp(time.Now())
	}
	return d.stream.Send(e)
}
