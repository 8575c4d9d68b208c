package saddleadmission

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// reserveTime is the time for which the arrivals of more urgent requests find room in
	// advance. The loads that other entries report are up to half a second old.
	reserveTime = 500 * time.Millisecond
	// starvingAge is the age up to which it is not judged again whether a request starves.
	starvingAge = 50 * time.Millisecond
	// maxReserve bounds the reserve as a fraction of the room.
	maxReserve = 0.3
	// hopelessFactor is how many times longer than a request may wait its turn must be away for
	// it to be refused at once. Expected waits are right within such a factor.
	hopelessFactor = 2
	// returnShare is the least fraction of the room that becomes free in which places are handed
	// out. Most callers that return are late already, so new ones keep most of the room.
	returnShare = 0.25
	// minRateShare is the least fraction of the room that becomes free that counts for a
	// request, however many more urgent ones arrive: starving requests go first.
	minRateShare = 0.1
)

// Queue is the state of the admission to one pool. It is not safe for concurrent use.
type Queue struct {
	waiting []*waiter
	demand  demand // of the requests that were not refused at their arrival
	fresh   demand // of the requests whose callers do not return
	shares  shares
	clocks  clocks
	places  places
}

// waiter is a request that waits.
type waiter struct {
	Request
	arrived  time.Time
	returned bool
	starving bool      // as of judged
	judged   time.Time // zero: never
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{shares: newShares(), clocks: clocks{next: map[fireflysaddle.Workspace]Tokens{}}}
}

// Join adds a request, unless its turn would come long after it may wait no longer. None is
// refused while no room is known: engines that were lost are replaced soon. draw is a random
// number in [0, 1) that spreads the times of return.
func (q *Queue) Join(now time.Time, r Request, room Room, draw float64) Decision {
	w := &waiter{Request: r, arrived: now}
	if !r.Begun {
		var again bool
		again, w.returned = q.places.take(now, r.Fingerprint, r.Elapsed)
		q.shares.arrive(now, &r)
		if again {
			w.OnTime = time.Time{} // its caller has waited longer than that
		} else {
			q.fresh.add(now, r.Rank, r.Tokens)
		}
	}
	ahead := q.ahead(now, w) + q.places.due(r.Rank, r.Until, r.Workspace)
	if room.Capacity > 0 && !q.exempt(now, w) && q.wait(now, w, ahead, room) > hopelessFactor*r.Until.Sub(now) {
		return q.refuse(now, w, ReasonNoTurn, room, draw)
	}
	if !r.Begun {
		q.demand.add(now, r.Rank, r.Tokens)
	}
	q.waiting = append(q.waiting, w)
	reason := ReasonRank
	switch {
	case r.Begun:
		reason = ReasonBegun
	case w.returned:
		reason = ReasonReturned
	case !q.fits(now, w, room):
		reason = ReasonReserved
	}
	return Decision{Reason: reason, Returned: w.returned, Ahead: ahead}
}

// Next returns the request that is to begin if an engine has room for it, and why it is the
// next. skip are requests for which no chain was found at present.
func (q *Queue) Next(now time.Time, room Room, skip ...Ticket) (Ticket, Reason, bool) {
	var best, second *waiter
	for _, w := range q.waiting {
		switch {
		case slices.Contains(skip, w.Ticket):
		case best == nil || q.before(now, w, best) != "":
			best, second = w, best
		case second == nil || q.before(now, w, second) != "":
			second = w
		}
	}
	if best == nil || !q.fits(now, best, room) {
		return 0, ReasonReserved, false
	}
	if second == nil {
		return best.Ticket, ReasonRank, true
	}
	return best.Ticket, q.before(now, best, second), true
}

// Begin removes a request that begins.
func (q *Queue) Begin(now time.Time, t Ticket) {
	if w := q.remove(t); w != nil && !w.Begun {
		q.clocks.begin(w.Workspace, w.Tokens)
		q.shares.serve(now, &w.Request)
	}
}

// Leave removes a request whose caller has gone.
func (q *Queue) Leave(t Ticket) { q.remove(t) }

// Expire refuses a request that may wait no longer, if there is one.
func (q *Queue) Expire(now time.Time, room Room, draw float64) (Ticket, Decision, bool) {
	i := slices.IndexFunc(q.waiting, func(w *waiter) bool { return !now.Before(w.Until) })
	if i < 0 {
		return 0, Decision{}, false
	}
	w := q.waiting[i]
	q.Leave(w.Ticket)
	return w.Ticket, q.refuse(now, w, ReasonExpired, room, draw), true
}

// refuse says when the caller of a request should return, and keeps room for it if there will be
// some. Places lie in the room that the requests of new callers leave, behind all that goes
// before the request.
func (q *Queue) refuse(now time.Time, w *waiter, reason Reason, room Room, draw float64) Decision {
	d := Decision{Refused: true, Reason: reason, Returned: w.returned}
	returning := *w
	returning.returned = true
	d.Ahead = q.ahead(now, &returning) + q.places.due(w.Rank, w.Deadline, "")
	taken := min(q.fresh.above(now, w.Rank+1), (1-returnShare)*room.Rate)
	wait := q.roomAfter(d.Ahead+w.Tokens, room, taken, q.reserve(now, w.Rank, room))
	d.RetryAfter, d.Placed = q.places.promise(now, w.Request, wait, draw)
	return d
}

// Len returns the number of requests that wait, and Tokens their tokens.
func (q *Queue) Len() int { return len(q.waiting) }

// Tokens returns the tokens of the requests that wait.
func (q *Queue) Tokens() Tokens {
	var sum Tokens
	for _, w := range q.waiting {
		sum += w.Tokens
	}
	return sum
}

func (q *Queue) remove(t Ticket) *waiter {
	i := slices.IndexFunc(q.waiting, func(w *waiter) bool { return w.Ticket == t })
	if i < 0 {
		return nil
	}
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return w
}

// fits reports whether a request may take room. Less urgent requests leave room for the more
// urgent ones that are expected next, unless a place was handed out to them or they starve. Late
// requests also leave room for those of their own rank, at this entry and others.
func (q *Queue) fits(now time.Time, w *waiter, room Room) bool {
	return q.exempt(now, w) || room.Free >= q.reserve(now, w.yieldsTo(now), room)
}

// exempt reports whether a request is neither refused at its arrival nor leaves room for others.
func (q *Queue) exempt(now time.Time, w *waiter) bool {
	return w.Begun || w.returned || q.starving(now, w)
}

// starving reports whether a request is one of those that are served much less often than all. It
// is judged again after starvingAge, because a long queue is searched often.
func (q *Queue) starving(now time.Time, w *waiter) bool {
	if w.judged.IsZero() || now.Sub(w.judged) > starvingAge {
		w.starving, w.judged = q.shares.starving(now, &w.Request), now
	}
	return w.starving
}

// reserve returns the room that is kept for requests more urgent than a rank. Each entry sees
// its own part of the demand only. What becomes free meanwhile is not subtracted: engines that are
// filled to the brim answer late and preempt streams.
func (q *Queue) reserve(now time.Time, rank Rank, room Room) Tokens {
	expected := q.demand.above(now, rank) * reserveTime.Seconds() * float64(max(1, room.Entries))
	return min(Tokens(expected), maxReserve*room.Capacity)
}

// ahead returns the tokens of the requests that go before one. Of those that only the shares of
// workspaces order, each workspace goes first until it has had as much as that of the request.
func (q *Queue) ahead(now time.Time, w *waiter) Tokens {
	var ahead, own Tokens
	others := map[fireflysaddle.Workspace]Tokens{}
	for _, other := range q.waiting {
		switch reason := q.before(now, other, w); {
		case other.Ticket == w.Ticket:
		case other.Workspace != w.Workspace && (reason == "" || reason == ReasonShare) && q.sameTier(now, w, other):
			others[other.Workspace] += other.Tokens
		case reason != "" && other.Workspace == w.Workspace:
			own += other.Tokens
		case reason != "":
			ahead += other.Tokens
		}
	}
	for workspace, tokens := range others {
		lead := q.clocks.start(w.Workspace) - q.clocks.start(workspace)
		ahead += min(tokens, max(0, own+lead))
	}
	return ahead + own
}

// wait returns how long a request is expected to wait for room behind the tokens ahead of it.
func (q *Queue) wait(now time.Time, w *waiter, ahead Tokens, room Room) time.Duration {
	rank := w.yieldsTo(now)
	return q.roomAfter(ahead+w.Tokens, room, q.demand.above(now, rank), q.reserve(now, rank, room))
}

// roomAfter returns after what time there is room for a number of tokens, if others take a number
// of tokens per second before them and some room is reserved.
func (q *Queue) roomAfter(tokens Tokens, room Room, taken float64, reserved Tokens) time.Duration {
	free := max(0, room.Free-reserved) / Tokens(max(1, room.Entries))
	if tokens <= free {
		return 0
	}
	rate := max(minRateShare*room.Rate, room.Rate-taken, 1)
	return time.Duration(min(float64(tokens-free)/rate, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds the expected wait, which is no duration if nothing becomes free.
const maxWaitSeconds = 3600
