package saddleadmission

import "time"

// before returns why a goes before b, and the empty reason if it does not. Requests that have
// begun go first, because their callers may have part of the answer, then those that starve. The
// others go by rank. Within a rank, those that can still be on time, and those whose callers
// return in the time that they were told, go before those that are late; then the workspace
// goes first that has had least, and of each workspace those that return.
func (q *Queue) before(now time.Time, a, b *waiter) Reason {
	if a.Begun != b.Begun {
		return when(a.Begun, ReasonBegun)
	}
	if x, y := q.starving(now, a), q.starving(now, b); x != y {
		return when(x, ReasonStarving)
	}
	if a.Rank != b.Rank {
		return when(a.Rank < b.Rank, ReasonRank)
	}
	if x, y := a.inTime(now), b.inTime(now); x != y {
		return when(x, ReasonOnTime)
	}
	if x, y := q.clocks.start(a.Workspace), q.clocks.start(b.Workspace); x != y {
		return when(x < y, ReasonShare)
	}
	if a.returned != b.returned {
		return when(a.returned, ReasonReturned)
	}
	return when(a.arrived.Before(b.arrived), ReasonShare)
}

// sameTier reports whether only shares, returns and arrival order two requests.
func (q *Queue) sameTier(now time.Time, a, b *waiter) bool {
	return a.Begun == b.Begun && a.Rank == b.Rank && a.inTime(now) == b.inTime(now) &&
		q.starving(now, a) == q.starving(now, b)
}

// inTime reports whether a request can begin in the time that its caller expects.
func (w *waiter) inTime(now time.Time) bool { return w.returned || now.Before(w.OnTime) }

// yieldsTo returns the rank such that a request leaves room for those that are more urgent.
func (w *waiter) yieldsTo(now time.Time) Rank {
	if w.inTime(now) {
		return w.Rank
	}
	return w.Rank + 1
}

func when(cond bool, reason Reason) Reason {
	if cond {
		return reason
	}
	return ""
}
