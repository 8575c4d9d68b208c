package saddlequeue

import (
	"slices"
	"time"
)

// waitOf predicts when a new item would start: after the work that runs, the
// items of its own flow that go before it, and what each other flow is due
// until then. A flow that has had a backlog for a while is not expected to be
// served faster than it was, since others go on asking for their share.
func (q *Queue) waitOf(now time.Time, i *item) time.Duration {
	if len(q.running) < q.slots {
		return 0
	}
	own := i.flow.ahead(i)
	start := i.flow.start
	if len(i.flow.items) == 0 {
		start = max(start, q.earliest(i.flow))
	}
	turn := max(start+own/i.flow.weight, q.virtual)
	ahead := own
	for _, f := range q.flows {
		if f != i.flow && len(f.items) > 0 && f.start <= turn {
			ahead += min((turn-f.start)*f.weight+f.items[0].tokens(), f.tokens)
		}
	}
	return max(q.drained(now, ahead), i.flow.drain.of(own))
}

// drained predicts when a slot will be free after so many tokens: the level to
// which the slots fill when the work is poured onto what they still have to do.
func (q *Queue) drained(now time.Time, tokens float64) time.Duration {
	left := make([]time.Duration, 0, len(q.running))
	for _, r := range q.running {
		left = append(left, max(q.pace.of(r.tokens)-now.Sub(r.start), 0))
	}
	slices.Sort(left)
	work := q.pace.of(tokens)
	level := left[0]
	for n := 1; n < len(left); n++ {
		room := (left[n] - level) * time.Duration(n)
		if work <= room {
			return level + work/time.Duration(n)
		}
		work -= room
		level = left[n]
	}
	return level + work/time.Duration(len(left))
}
