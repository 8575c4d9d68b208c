package saddlesim

import (
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
)

// SingleEngine simulates one engine behind a production or baseline queue.
// Callers reach it directly, without entry or network. Each slot generates rate
// tokens per second.
type SingleEngine struct {
	clock      *Clock
	queue      fireflysaddle.Admitter
	rate       float64
	retries    bool // refused callers retry after the time in the refusal
	queued     map[fireflysaddle.RequestID]*Call
	calls      []*Call
	nextExpiry time.Time
}

// Call is a caller's request to a SingleEngine.
type Call struct {
	Request    saddleload.Request
	Attempts   int
	Refused    bool          // after the last attempt
	RetryAfter time.Duration // of the refusal of the first attempt
	ArrivedAt  time.Duration // of the first attempt, from the start of the run
	AcceptedAt time.Duration // when the latest attempt arrived, from the start of the run
	QueueTime  time.Duration // time in the queue
	Latency    time.Duration // from the accepted attempt to the answer
	Answered   bool

	deadline time.Time
	queuedAt time.Time
}

// maxCallAttempts bounds the attempts of one call.
const maxCallAttempts = 50

// NewSingleEngine returns an idle engine with the given token rate per slot.
func NewSingleEngine(queue fireflysaddle.Admitter, rate float64, retries bool) *SingleEngine {
	return &SingleEngine{
		clock:   NewClock(),
		queue:   queue,
		rate:    rate,
		retries: retries,
		queued:  map[fireflysaddle.RequestID]*Call{},
	}
}

// Run submits each request at its own time and returns the calls in the order
// of requests.
func (e *SingleEngine) Run(requests []saddleload.Request, length time.Duration) []*Call {
	for _, req := range requests {
		c := &Call{Request: req, ArrivedAt: req.SendAt}
		e.calls = append(e.calls, c)
		e.clock.AfterFunc(req.SendAt, func() { e.offer(c) })
	}
	e.clock.Run(length)
	return e.calls
}

func (e *SingleEngine) offer(c *Call) {
	now := e.clock.Now()
	c.Attempts++
	demand := fireflysaddle.Demand{
		Request:   fireflysaddle.RequestID(fmt.Sprintf("%s/%d", c.Request.ID, c.Attempts)),
		Workspace: c.Request.Workspace,
		Weight:    1,
		Tokens:    c.Request.MaxTokens + int(float64(c.Request.PromptTokens)*prefillCost),
	}
	if c.Request.Timeout > 0 {
		c.deadline = now.Add(c.Request.Timeout)
		demand.Deadline = c.deadline
	}
	c.AcceptedAt = e.clock.Since()
	c.queuedAt = now
	if err := e.queue.Offer(now, demand); err != nil {
		e.refuse(c, err)
		return
	}
	e.queued[demand.Request] = c
	e.dispatch()
}

func (e *SingleEngine) refuse(c *Call, err error) {
	var refused *fireflysaddle.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if c.Attempts == 1 {
		c.RetryAfter = refused.RetryAfter
	}
	if !e.retries || refused.RetryAfter == 0 || c.Attempts >= maxCallAttempts {
		c.Refused = true
		return
	}
	e.clock.AfterFunc(refused.RetryAfter, func() { e.offer(c) })
}

func (e *SingleEngine) dispatch() {
	now := e.clock.Now()
	for _, id := range e.queue.RemoveExpired(now) {
		c := e.queued[id]
		delete(e.queued, id)
		e.refuse(c, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, RetryAfter: e.queue.EstimatedWait(now)})
	}
	for {
		id, ok := e.queue.Next(now)
		if !ok {
			break
		}
		e.start(id, e.queued[id])
	}
	if at, ok := e.queue.NextExpiry(); ok && !at.Equal(e.nextExpiry) {
		e.nextExpiry = at
		e.clock.AfterFunc(at.Sub(now), e.dispatch)
	}
}

func (e *SingleEngine) start(id fireflysaddle.RequestID, c *Call) {
	delete(e.queued, id)
	c.QueueTime = e.clock.Now().Sub(c.queuedAt)
	e.clock.AfterFunc(seconds(c.CostTokens()/e.rate), func() {
		now := e.clock.Now()
		c.Answered = true
		c.Latency = now.Sub(c.queuedAt)
		e.queue.Finish(now, id)
		e.dispatch()
	})
}

// OnTime reports whether the answer came within the caller's timeout.
func (c *Call) OnTime() bool {
	return c.Answered && (c.Request.Timeout == 0 || c.Latency <= c.Request.Timeout)
}

// CostTokens returns the work of the request: the time that it takes in a slot,
// in units of the time of a generated token.
func (c *Call) CostTokens() float64 {
	return float64(c.Request.OutputTokens) + float64(c.Request.PromptTokens)*prefillCost
}
