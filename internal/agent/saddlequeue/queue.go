package saddlequeue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Queue shares the slots of a target between workspaces by weight and estimated
// tokens. It refuses a request that is predicted to wait longer than the limit or
// to miss its deadline. It implements fireflysaddle.Admitter and is not safe for
// concurrent use.
type Queue struct {
	slots       int
	maxWait     time.Duration
	slotRate    slotRate
	virtualTime float64 // virtual start time of the latest started item
	arrivals    uint64
	flows       []*flow // in order of creation; an idle flow is removed once its burst is restored
	queued      map[fireflysaddle.RequestID]*item
	expiry      expiryHeap
	running     map[fireflysaddle.RequestID]runningRequest

	nextRetryAt time.Time // earliest retry time for the next refused request
}

// runningRequest is a request that occupies a slot.
type runningRequest struct {
	start  time.Time
	tokens float64
}

const (
	// minRetryAfter is the shortest time after which a refused request may be
	// retried.
	minRetryAfter = 10 * time.Millisecond
	// burstTime bounds the burst of a workspace that has used less than its share.
	// The workspace is served ahead of the others for at most the tokens that the
	// target processes in this time.
	burstTime = 2 * time.Second
	// retrySpacing is the time between the retries of refused requests, as a multiple
	// of the time in which the slots process one request.
	retrySpacing = 1.5
)

// New returns an empty queue. maxWait is the longest predicted wait with which a
// request is accepted. rate is the announced rate of one slot in tokens per second;
// 0 means unknown.
func New(slots int, maxWait time.Duration, rate float64) *Queue {
	return &Queue{
		slots:    max(slots, 1),
		maxWait:  maxWait,
		slotRate: newSlotRate(rate),
		queued:   map[fireflysaddle.RequestID]*item{},
		running:  map[fireflysaddle.RequestID]runningRequest{},
	}
}

// Offer queues a request, or returns a *fireflysaddle.RefusedError.
func (q *Queue) Offer(now time.Time, d fireflysaddle.Demand) error {
	q.arrivals++
	i := &item{demand: d, flow: q.flow(d), arrival: q.arrivals}
	serviceTime := q.slotRate.timeBound(i.tokens())
	if err := q.checkWait(now, i, serviceTime); err != nil {
		return err
	}
	if len(i.flow.items) == 0 {
		i.flow.startTag = max(i.flow.startTag, q.earliestStartTag(i.flow))
		i.flow.serviceRate.reset(now)
	}
	if !slices.Contains(q.flows, i.flow) {
		q.flows = append(q.flows, i.flow)
	}
	heap.Push(&i.flow.items, i)
	i.flow.tokens += i.tokens()
	q.queued[d.Request] = i
	if !d.Deadline.IsZero() {
		i.latestStart = d.Deadline.Add(-serviceTime)
		heap.Push(&q.expiry, i)
	}
	return nil
}

// checkWait refuses an item that is predicted to wait longer than maxWait or to
// miss its deadline.
func (q *Queue) checkWait(now time.Time, i *item, serviceTime time.Duration) error {
	wait := q.predictWait(now, i)
	allowed := q.maxWait
	deadline := i.demand.Deadline
	if !deadline.IsZero() {
		allowed = min(allowed, deadline.Sub(now)-serviceTime)
	}
	switch {
	case allowed < 0:
		return &fireflysaddle.RefusedError{
			Code:    fireflysaddle.CodeDeadline,
			Message: "the request is predicted to miss its deadline even without a wait",
		}
	case wait > allowed:
		return &fireflysaddle.RefusedError{
			Code:       fireflysaddle.CodeOverloaded,
			Message:    "the predicted wait exceeds the limit of the queue or the deadline",
			RetryAfter: q.retryAfter(now, max(wait-allowed, minRetryAfter), i.tokens()),
		}
	}
	return nil
}

// retryAfter returns the time after which a refused request should be retried, at
// least minDelay. By then the queue is predicted to be short enough to accept the
// request. Requests that were refused earlier are given earlier retry times. The
// retries are spaced by a multiple of the time in which the slots process one
// request.
func (q *Queue) retryAfter(now time.Time, minDelay time.Duration, tokens float64) time.Duration {
	at := now.Add(minDelay)
	if at.Before(q.nextRetryAt) {
		at = q.nextRetryAt
	}
	q.nextRetryAt = at.Add(time.Duration(retrySpacing * float64(q.slotRate.timeFor(tokens)) / float64(q.slots)))
	return at.Sub(now)
}

// flow returns the flow of a demand's workspace and sets its weight to that of the
// demand. If the workspace has no flow, it returns a new one, which Offer adds to
// q.flows.
func (q *Queue) flow(d fireflysaddle.Demand) *flow {
	weight := float64(max(d.Weight, 1))
	for _, f := range q.flows {
		if f.workspace == d.Workspace {
			f.weight = weight
			return f
		}
	}
	f := &flow{workspace: d.Workspace, weight: weight}
	f.startTag = q.earliestStartTag(f)
	return f
}

// earliestStartTag returns the lowest start tag that a flow can have after it was
// idle. It is lower than the virtual time by the flow's burst.
func (q *Queue) earliestStartTag(f *flow) float64 {
	return q.virtualTime - q.slotRate.tokensIn(burstTime)*float64(q.slots)/f.weight
}

// Next removes and returns the next request to start, from the flow with the lowest
// start tag. Expired requests stay queued until RemoveExpired returns them.
func (q *Queue) Next(now time.Time) (fireflysaddle.RequestID, bool) {
	if len(q.running) >= q.slots {
		return "", false
	}
	q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
		return len(f.items) == 0 && f.startTag <= q.earliestStartTag(f)
	})
	var best *item
	for _, f := range q.flows {
		i := f.nextItem(now)
		if i != nil && (best == nil || q.startsBefore(i, best)) {
			best = i
		}
	}
	if best == nil {
		return "", false
	}
	q.remove(best)
	q.virtualTime = max(q.virtualTime, best.flow.startTag)
	best.flow.startTag += best.tokens() / best.flow.weight
	best.flow.serviceRate.recordStart(now, best.tokens())
	q.running[best.demand.Request] = runningRequest{start: now, tokens: best.tokens()}
	return best.demand.Request, true
}

// startsBefore reports whether a is started before b, an item of another flow.
// Items whose start tags have been reached by the virtual time are started in the
// order of arrival.
func (q *Queue) startsBefore(a, b *item) bool {
	tagA := max(a.flow.startTag, q.virtualTime)
	tagB := max(b.flow.startTag, q.virtualTime)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.arrival < b.arrival
}

// Finish releases the slot of a started request.
func (q *Queue) Finish(now time.Time, id fireflysaddle.RequestID) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.slotRate.record(now.Sub(r.start), r.tokens)
}

// Withdraw removes a queued request and reports whether it was queued.
func (q *Queue) Withdraw(_ time.Time, id fireflysaddle.RequestID) bool {
	i, ok := q.queued[id]
	if ok {
		q.remove(i)
	}
	return ok
}

// RemoveExpired removes and returns the queued requests that are predicted to miss
// their deadline.
func (q *Queue) RemoveExpired(now time.Time) []fireflysaddle.RequestID {
	var out []fireflysaddle.RequestID
	for len(q.expiry) > 0 && q.expiry[0].expired(now) {
		i := q.expiry[0]
		out = append(out, i.demand.Request)
		q.remove(i)
	}
	return out
}

// NextExpiry returns the time at which the next queued request expires. The second
// result is false when no queued request has a deadline.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].latestStart.Add(1), true
}

// EstimatedWait predicts the wait of a new request that is served after all queued
// requests.
func (q *Queue) EstimatedWait(now time.Time) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	tokens := 0.0
	for _, f := range q.flows {
		tokens += f.tokens
	}
	return q.timeUntilSlot(now, tokens)
}

// Counts returns the numbers of running and queued requests.
func (q *Queue) Counts() (running, queued int) {
	return len(q.running), len(q.queued)
}

func (q *Queue) remove(i *item) {
	delete(q.queued, i.demand.Request)
	heap.Remove(&i.flow.items, i.flowIndex)
	i.flow.tokens -= i.tokens()
	if !i.latestStart.IsZero() {
		heap.Remove(&q.expiry, i.expiryIndex)
	}
}
