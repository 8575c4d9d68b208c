package saddlequeue

import (
	"slices"
	"time"
)

// predictWait predicts the time until a new item would start. Ahead of the item are
// the running requests, the items of its own flow that are served before it, and
// the work of each other flow up to the item's start tag. The wait is at least what
// the flow's measured service rate predicts. Because other flows keep submitting
// requests, a flow with a backlog is not expected to be served faster than before.
func (q *Queue) predictWait(now time.Time, i *item) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	ownTokens := i.flow.tokensAhead(i)
	startTag := i.flow.startTag
	if len(i.flow.items) == 0 {
		startTag = max(startTag, q.earliestStartTag(i.flow))
	}
	itemTag := max(startTag+ownTokens/i.flow.weight, q.virtualTime)
	tokensAhead := ownTokens
	for _, f := range q.flows {
		if f != i.flow && len(f.items) > 0 && f.startTag <= itemTag {
			tokensAhead += min((itemTag-f.startTag)*f.weight+f.items[0].tokens(), f.tokens)
		}
	}
	return max(q.timeUntilSlot(now, tokensAhead), i.flow.serviceRate.timeFor(ownTokens))
}

// timeUntilSlot predicts the time until a slot is free for a request behind queued
// work of the given number of tokens. It spreads the work over the slots, always
// to those with the least remaining time, and returns the resulting remaining time
// of the slots that received work. At least one request must be running.
func (q *Queue) timeUntilSlot(now time.Time, tokens float64) time.Duration {
	remaining := make([]time.Duration, 0, len(q.running))
	for _, r := range q.running {
		remaining = append(remaining, max(q.slotRate.timeFor(r.tokens)-now.Sub(r.start), 0))
	}
	slices.Sort(remaining)
	work := q.slotRate.timeFor(tokens)
	equalRemaining := remaining[0] // remaining time of each slot that has received work
	for n := 1; n < len(remaining); n++ {
		capacity := (remaining[n] - equalRemaining) * time.Duration(n)
		if work <= capacity {
			return equalRemaining + work/time.Duration(n)
		}
		work -= capacity
		equalRemaining = remaining[n]
	}
	return equalRemaining + work/time.Duration(len(remaining))
}
