package saddlesim

import (
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
)

// Station is one engine behind a real queue; callers come to it directly.
type Station struct {
	clock   *Clock
	queue   fireflysaddle.Admitter
	rate    float64
	returns bool // refused callers come back when they are told to
	waiting map[fireflysaddle.RequestID]*Visit
	visits  []*Visit
	wake    time.Time
}

// Visit is one caller's request at a station.
type Visit struct {
	Request    saddleload.Request
	Tries      int
	Refused    bool          // at last
	RetryAfter time.Duration // of the first refusal
	Came       time.Duration // from the start of the run, first try
	Accepted   time.Duration // when it was queued, from the start of the run
	Wait       time.Duration // in the queue
	Took       time.Duration // from the accepted try to the end
	Answered   bool

	deadline time.Time
	queued   time.Time
}

// maxTries bounds how often a refused caller comes back.
const maxTries = 50

// NewStation returns an idle station whose slots run at a rate in tokens a
// second.
func NewStation(queue fireflysaddle.Admitter, rate float64, returns bool) *Station {
	return &Station{
		clock:   NewClock(),
		queue:   queue,
		rate:    rate,
		returns: returns,
		waiting: map[fireflysaddle.RequestID]*Visit{},
	}
}

// Run takes in requests at their times and returns their visits.
func (s *Station) Run(requests []saddleload.Request, length time.Duration) []*Visit {
	for _, q := range requests {
		v := &Visit{Request: q, Came: q.At}
		s.visits = append(s.visits, v)
		s.clock.After(q.At, func() { s.offer(v) })
	}
	s.clock.Run(length)
	return s.visits
}

func (s *Station) offer(v *Visit) {
	now := s.clock.Now()
	v.Tries++
	d := fireflysaddle.Demand{
		Request:   fireflysaddle.RequestID(fmt.Sprintf("%s/%d", v.Request.ID, v.Tries)),
		Workspace: v.Request.Workspace,
		Weight:    1,
		Tokens:    v.Request.MaxTokens + int(float64(v.Request.PromptTokens)*prefillShare),
	}
	if v.Request.Patience > 0 {
		v.deadline = now.Add(v.Request.Patience)
		d.Deadline = v.deadline
	}
	v.Accepted = s.clock.Since()
	v.queued = now
	if err := s.queue.Offer(now, d); err != nil {
		s.refuse(v, err)
		return
	}
	s.waiting[d.Request] = v
	s.pump()
}

func (s *Station) refuse(v *Visit, err error) {
	var refused *fireflysaddle.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	if v.Tries == 1 {
		v.RetryAfter = refused.RetryAfter
	}
	if !s.returns || refused.RetryAfter == 0 || v.Tries >= maxTries {
		v.Refused = true
		return
	}
	s.clock.After(refused.RetryAfter, func() { s.offer(v) })
}

func (s *Station) pump() {
	now := s.clock.Now()
	for _, id := range s.queue.RemoveExpired(now) {
		v := s.waiting[id]
		delete(s.waiting, id)
		s.refuse(v, &fireflysaddle.RefusedError{Code: fireflysaddle.CodeDeadline, RetryAfter: s.queue.EstimatedWait(now)})
	}
	for {
		id, ok := s.queue.Next(now)
		if !ok {
			break
		}
		s.start(id, s.waiting[id])
	}
	if at, ok := s.queue.NextExpiry(); ok && !at.Equal(s.wake) {
		s.wake = at
		s.clock.After(at.Sub(now), s.pump)
	}
}

func (s *Station) start(id fireflysaddle.RequestID, v *Visit) {
	delete(s.waiting, id)
	v.Wait = s.clock.Now().Sub(v.queued)
	s.clock.After(seconds(v.Work()/s.rate), func() {
		now := s.clock.Now()
		v.Answered = true
		v.Took = now.Sub(v.queued)
		s.queue.Finish(now, id)
		s.pump()
	})
}

// Good reports whether the answer came within the caller's patience.
func (v *Visit) Good() bool {
	return v.Answered && (v.Request.Patience == 0 || v.Took <= v.Request.Patience)
}

// Work returns the time that the request takes in a slot, in tokens.
func (v *Visit) Work() float64 {
	return float64(v.Request.Tokens) + float64(v.Request.PromptTokens)*prefillShare
}
