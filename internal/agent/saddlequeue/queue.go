package saddlequeue

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Queue starts requests in the order in which they came, as many at a time as
// the target has slots. It implements fireflysaddle.Admitter.
type Queue struct {
	slots   int
	maxWait time.Duration
	service time.Duration // moving average of the time in a slot
	waiting []fireflysaddle.Demand
	running map[fireflysaddle.RequestID]time.Time // start times
}

// smoothing is the weight of the latest service time in the average.
const smoothing = 0.2

// New returns an empty queue. maxWait is the longest predicted wait accepted.
func New(slots int, maxWait time.Duration) *Queue {
	return &Queue{slots: max(slots, 1), maxWait: maxWait, running: map[fireflysaddle.RequestID]time.Time{}}
}

// Offer queues a request or returns a *fireflysaddle.RefusedError.
func (q *Queue) Offer(now time.Time, d fireflysaddle.Demand) error {
	wait := q.Wait(now)
	late := !d.Deadline.IsZero() && now.Add(wait).After(d.Deadline)
	if wait > q.maxWait || late {
		return &fireflysaddle.RefusedError{
			Code:       fireflysaddle.CodeOverloaded,
			Message:    "the predicted wait is too long",
			RetryAfter: wait,
		}
	}
	q.waiting = append(q.waiting, d)
	return nil
}

// Next takes the next request to start.
func (q *Queue) Next(now time.Time) (fireflysaddle.RequestID, bool) {
	if len(q.running) >= q.slots || len(q.waiting) == 0 {
		return "", false
	}
	id := q.waiting[0].Request
	q.waiting = q.waiting[1:]
	q.running[id] = now
	return id, true
}

// Finish frees the slot of a started request.
func (q *Queue) Finish(now time.Time, id fireflysaddle.RequestID) {
	start, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	took := now.Sub(start)
	if q.service == 0 {
		q.service = took
		return
	}
	q.service += time.Duration(smoothing * float64(took-q.service))
}

// Withdraw removes a queued request; it reports whether it was queued.
func (q *Queue) Withdraw(_ time.Time, id fireflysaddle.RequestID) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(d fireflysaddle.Demand) bool { return d.Request == id })
	return len(q.waiting) < n
}

// Expired removes and returns the queued requests past their deadline.
func (q *Queue) Expired(now time.Time) []fireflysaddle.RequestID {
	var out []fireflysaddle.RequestID
	q.waiting = slices.DeleteFunc(q.waiting, func(d fireflysaddle.Demand) bool {
		late := !d.Deadline.IsZero() && now.After(d.Deadline)
		if late {
			out = append(out, d.Request)
		}
		return late
	})
	return out
}

// Wait predicts the wait of a new request: nothing while a slot is free, else
// the time until the queue before it has drained.
func (q *Queue) Wait(_ time.Time) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	return q.service * time.Duration(len(q.waiting)+1) / time.Duration(q.slots)
}

// Counts returns the numbers of running and queued requests.
func (q *Queue) Counts() (running, queued int) {
	return len(q.running), len(q.waiting)
}
