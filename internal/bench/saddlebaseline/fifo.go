package saddlebaseline

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// FIFO starts requests in the order of their arrival and refuses none on arrival.
// It implements fireflysaddle.Admitter.
type FIFO struct {
	slots   int
	running map[fireflysaddle.RequestID]bool
	queued  []fireflysaddle.Demand
}

// NewFIFO returns an empty queue in front of the given number of slots.
func NewFIFO(slots int) *FIFO {
	return &FIFO{slots: slots, running: map[fireflysaddle.RequestID]bool{}}
}

// Offer queues a request.
func (q *FIFO) Offer(_ time.Time, d fireflysaddle.Demand) error {
	q.queued = append(q.queued, d)
	return nil
}

// Next removes the next request to start from the queue, gives it a slot and
// returns its ID. The second result is false when no request can start.
func (q *FIFO) Next(time.Time) (fireflysaddle.RequestID, bool) {
	if len(q.running) >= q.slots || len(q.queued) == 0 {
		return "", false
	}
	id := q.queued[0].Request
	q.queued = q.queued[1:]
	q.running[id] = true
	return id, true
}

// Finish frees the slot of a started request.
func (q *FIFO) Finish(_ time.Time, id fireflysaddle.RequestID) { delete(q.running, id) }

// Withdraw removes a request from the queue and reports whether it was there.
func (q *FIFO) Withdraw(_ time.Time, id fireflysaddle.RequestID) bool {
	n := len(q.queued)
	q.queued = slices.DeleteFunc(q.queued, func(d fireflysaddle.Demand) bool { return d.Request == id })
	return len(q.queued) < n
}

// RemoveExpired removes and returns the queued requests past their deadline. Unlike the
// agents' queue it makes no prediction.
func (q *FIFO) RemoveExpired(now time.Time) []fireflysaddle.RequestID {
	var out []fireflysaddle.RequestID
	q.queued = slices.DeleteFunc(q.queued, func(d fireflysaddle.Demand) bool {
		expired := !d.Deadline.IsZero() && now.After(d.Deadline)
		if expired {
			out = append(out, d.Request)
		}
		return expired
	})
	return out
}

// NextExpiry always returns false, because the queue schedules no check of
// deadlines. Expired requests stay queued until RemoveExpired is called.
func (q *FIFO) NextExpiry() (time.Time, bool) { return time.Time{}, false }

// EstimatedWait always returns 0, because the queue makes no prediction.
func (q *FIFO) EstimatedWait(time.Time) time.Duration { return 0 }

// Counts returns the numbers of running and queued requests.
func (q *FIFO) Counts() (running, queued int) { return len(q.running), len(q.queued) }
