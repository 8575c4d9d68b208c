package saddlequeue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Queue shares a target's slots between workspaces by weight and estimated
// tokens. It refuses a request that is predicted to wait too long or to miss
// its deadline. It implements fireflysaddle.Admitter.
type Queue struct {
	slots   int
	maxWait time.Duration
	pace    pace
	virtual float64 // start of the latest started item
	count   uint64
	flows   []*flow // in the order in which they came; those with nothing due are dropped
	queued  map[fireflysaddle.RequestID]*item
	expiry  expiryHeap
	running map[fireflysaddle.RequestID]run

	promised time.Time // until when refused callers were told to come back
}

// run is a started request.
type run struct {
	start  time.Time
	tokens float64
}

const (
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = 10 * time.Millisecond
	// burstTime is how much of the target's time a workspace that asked for less
	// than its share may be served ahead of its turn.
	burstTime = 2 * time.Second
	// promiseSpacing is the time between refused callers' returns by the time in
	// which the slots drain one request.
	promiseSpacing = 1.5
)

// New returns an empty queue. maxWait is the longest predicted wait accepted,
// rate the announced tokens a second in one slot, 0: unknown.
func New(slots int, maxWait time.Duration, rate float64) *Queue {
	return &Queue{
		slots:   max(slots, 1),
		maxWait: maxWait,
		pace:    newPace(rate),
		queued:  map[fireflysaddle.RequestID]*item{},
		running: map[fireflysaddle.RequestID]run{},
	}
}

// Offer queues a request or returns a *fireflysaddle.RefusedError.
func (q *Queue) Offer(now time.Time, d fireflysaddle.Demand) error {
	q.count++
	i := &item{demand: d, flow: q.flow(d), number: q.count}
	service := q.pace.safely(i.tokens())
	if err := q.check(now, i, service); err != nil {
		return err
	}
	if len(i.flow.items) == 0 {
		i.flow.start = max(i.flow.start, q.earliest(i.flow))
		i.flow.drain.begin(now)
	}
	if !slices.Contains(q.flows, i.flow) {
		q.flows = append(q.flows, i.flow)
	}
	heap.Push(&i.flow.items, i)
	i.flow.tokens += i.tokens()
	q.queued[d.Request] = i
	if !d.Deadline.IsZero() {
		i.latest = d.Deadline.Add(-service)
		heap.Push(&q.expiry, i)
	}
	return nil
}

// check refuses an item that would wait too long or be late.
func (q *Queue) check(now time.Time, i *item, service time.Duration) error {
	wait := q.waitOf(now, i)
	allowed := q.maxWait
	deadline := i.demand.Deadline
	if !deadline.IsZero() {
		allowed = min(allowed, deadline.Sub(now)-service)
	}
	switch {
	case allowed < 0:
		return &fireflysaddle.RefusedError{
			Code:    fireflysaddle.CodeDeadline,
			Message: "the request is predicted to take longer than its deadline allows",
		}
	case wait > allowed:
		return &fireflysaddle.RefusedError{
			Code:       fireflysaddle.CodeOverloaded,
			Message:    "the predicted wait is too long",
			RetryAfter: q.promise(now, max(wait-allowed, minRetryAfter), i.tokens()),
		}
	}
	return nil
}

// promise returns when a refused caller is to come back: when the queue has
// drained so far that it would be accepted, and after those that were told to
// come back before it, spaced by the time in which the slots drain each.
func (q *Queue) promise(now time.Time, after time.Duration, tokens float64) time.Duration {
	at := now.Add(after)
	if at.Before(q.promised) {
		at = q.promised
	}
	q.promised = at.Add(time.Duration(promiseSpacing * float64(q.pace.of(tokens)) / float64(q.slots)))
	return at.Sub(now)
}

// flow returns the flow of a demand's workspace, a new one where there is none.
func (q *Queue) flow(d fireflysaddle.Demand) *flow {
	weight := float64(max(d.Weight, 1))
	for _, f := range q.flows {
		if f.workspace == d.Workspace {
			f.weight = weight
			return f
		}
	}
	f := &flow{workspace: d.Workspace, weight: weight}
	f.start = q.earliest(f)
	return f
}

// earliest returns the start of a flow that has asked for nothing lately.
func (q *Queue) earliest(f *flow) float64 {
	return q.virtual - q.pace.done(burstTime)*float64(q.slots)/f.weight
}

// Next takes the next request to start: that of the flow whose turn comes
// first. Requests that are too late stay for Expired.
func (q *Queue) Next(now time.Time) (fireflysaddle.RequestID, bool) {
	if len(q.running) >= q.slots {
		return "", false
	}
	q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
		return len(f.items) == 0 && f.start <= q.earliest(f)
	})
	var best *item
	for _, f := range q.flows {
		i := f.first(now)
		if i != nil && (best == nil || q.earlier(i, best)) {
			best = i
		}
	}
	if best == nil {
		return "", false
	}
	q.remove(best)
	q.virtual = max(q.virtual, best.flow.start)
	best.flow.start += best.tokens() / best.flow.weight
	best.flow.drain.started(now, best.tokens())
	q.running[best.demand.Request] = run{start: now, tokens: best.tokens()}
	return best.demand.Request, true
}

// earlier reports whether an item of one flow goes before that of another.
// Flows whose turn has come are served in the order of arrival.
func (q *Queue) earlier(a, b *item) bool {
	turnA := max(a.flow.start, q.virtual)
	turnB := max(b.flow.start, q.virtual)
	if turnA != turnB {
		return turnA < turnB
	}
	return a.number < b.number
}

// Finish frees the slot of a started request.
func (q *Queue) Finish(now time.Time, id fireflysaddle.RequestID) {
	r, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.pace.note(now.Sub(r.start), r.tokens)
}

// Withdraw removes a queued request; it reports whether it was queued.
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

// NextExpiry returns when Expired will next have something to return.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].latest.Add(1), true
}

// EstimatedWait predicts the wait of a new request behind all that are queued.
func (q *Queue) EstimatedWait(now time.Time) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	tokens := 0.0
	for _, f := range q.flows {
		tokens += f.tokens
	}
	return q.drained(now, tokens)
}

// Counts returns the numbers of running and queued requests.
func (q *Queue) Counts() (running, queued int) {
	return len(q.running), len(q.queued)
}

func (q *Queue) remove(i *item) {
	delete(q.queued, i.demand.Request)
	heap.Remove(&i.flow.items, i.inFlow)
	i.flow.tokens -= i.tokens()
	if !i.latest.IsZero() {
		heap.Remove(&q.expiry, i.inExpiry)
	}
}
