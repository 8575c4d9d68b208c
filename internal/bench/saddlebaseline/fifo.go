package saddlebaseline

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// FIFO starts requests in the order in which they came and refuses none before
// its deadline. It implements fireflysaddle.Admitter.
type FIFO struct {
	slots   int
	running map[fireflysaddle.RequestID]bool
	waiting []fireflysaddle.Demand
}

// NewFIFO returns an empty queue.
func NewFIFO(slots int) *FIFO {
	return &FIFO{slots: slots, running: map[fireflysaddle.RequestID]bool{}}
}

// Offer queues a request.
func (q *FIFO) Offer(_ time.Time, d fireflysaddle.Demand) error {
	q.waiting = append(q.waiting, d)
	return nil
}

// Next takes the next request to start.
func (q *FIFO) Next(time.Time) (fireflysaddle.RequestID, bool) {
	if len(q.running) >= q.slots || len(q.waiting) == 0 {
		return "", false
	}
	id := q.waiting[0].Request
	q.waiting = q.waiting[1:]
	q.running[id] = true
	return id, true
}

// Finish frees the slot of a started request.
func (q *FIFO) Finish(_ time.Time, id fireflysaddle.RequestID) { delete(q.running, id) }

// Withdraw removes a queued request; it reports whether it was queued.
func (q *FIFO) Withdraw(_ time.Time, id fireflysaddle.RequestID) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(d fireflysaddle.Demand) bool { return d.Request == id })
	return len(q.waiting) < n
}

// RemoveExpired removes and returns the queued requests past their deadline.
func (q *FIFO) RemoveExpired(now time.Time) []fireflysaddle.RequestID {
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

// NextExpiry never asks to be called.
func (q *FIFO) NextExpiry() (time.Time, bool) { return time.Time{}, false }

// EstimatedWait predicts nothing.
func (q *FIFO) EstimatedWait(time.Time) time.Duration { return 0 }

// Counts returns the numbers of running and queued requests.
func (q *FIFO) Counts() (running, queued int) { return len(q.running), len(q.waiting) }
