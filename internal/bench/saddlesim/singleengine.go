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
	clock        *Clock
	queue        fireflysaddle.Admitter
	rate         float64
	retryRefused bool // callers retry after the time in the refusal
	queued       map[fireflysaddle.RequestID]*Call
	calls        []*Call
	nextExpiry   time.Time
}

// Call is a caller's request to a SingleEngine.
type Call struct {
	Request         saddleload.Request
	Attempts        int
	Refused         bool          // the request was refused and is not retried
	RetryAfter      time.Duration // in the refusal of the first attempt; 0: none
	ArrivedAt       time.Duration // arrival of the first attempt, from the start of the run
	LatestArrivalAt time.Duration // arrival of the latest attempt, even if it was refused, from the start of the run
	QueueTime       time.Duration // time that the latest attempt spent in the queue
	Latency         time.Duration // from the arrival of the latest attempt to the answer
	Answered        bool

	deadline time.Time
	queuedAt time.Time
}

// maxCallAttempts bounds the attempts of one call.
const maxCallAttempts = 50

// NewSingleEngine returns an idle engine with the given token rate per slot. If
// retryRefused is set, callers retry refused requests after the time in the refusal.
func NewSingleEngine(queue fireflysaddle.Admitter, rate float64, retryRefused bool) *SingleEngine {
	return &SingleEngine{
		clock:        NewClock(),
		queue:        queue,
		rate:         rate,
		retryRefused: retryRefused,
		queued:       map[fireflysaddle.RequestID]*Call{},
	}
}

// Run submits each request at its own time and returns the calls in the order
// of requests.
func (e *SingleEngine) Run(requests []saddleload.Request, duration time.Duration) []*Call {
	for _, req := range requests {
		c := &Call{Request: req, ArrivedAt: req.SendAt}
		e.calls = append(e.calls, c)
		e.clock.AfterFunc(req.SendAt, func() { e.offer(c) })
	}
	e.clock.Run(duration)
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
	c.LatestArrivalAt = e.clock.Elapsed()
	c.queuedAt = now
	if err := e.queue.Offer(now, demand); err != nil {
		e.refuse(c, err)
		return
	}
	e.queued[demand.Request] = c
	e.dispatch()
}

// refuse handles the refusal of an attempt. It schedules the next attempt after the
// time in the refusal. It marks the call as refused instead if callers do not
// retry, if the refusal contains no time, or if no attempts are left.
func (e *SingleEngine) refuse(c *Call, err error) {
	var refused *fireflysaddle.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if c.Attempts == 1 {
		c.RetryAfter = refused.RetryAfter
	}
	if !e.retryRefused || refused.RetryAfter == 0 || c.Attempts >= maxCallAttempts {
		c.Refused = true
		return
	}
	e.clock.AfterFunc(refused.RetryAfter, func() { e.offer(c) })
}

// dispatch refuses the queued requests that the queue reports as expired. It then
// starts other queued requests in the free slots and schedules the next check of
// deadlines.
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

// CostTokens returns the cost of the request: the time for which it occupies a
// slot, in units of the time per generated token.
func (c *Call) CostTokens() float64 {
	return float64(c.Request.OutputTokens) + float64(c.Request.PromptTokens)*prefillCost
}
