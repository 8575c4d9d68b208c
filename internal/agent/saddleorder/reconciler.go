package saddleorder

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// firstPause is the time for an engine to carry out an order before it is
	// given again; it doubles up to maxPause.
	firstPause = 2 * time.Second
	maxPause   = time.Minute
)

// Reconciler gives one engine its orders, one at a time. It fences for engines
// that do not check fences themselves: wanted state below the highest fence
// seen gives no order. It is used by one goroutine.
type Reconciler struct {
	highest fireflysaddle.Fence
	last    fireflysaddle.Order // the order that was given last
	given   bool
	pause   time.Duration
	next    time.Time // not before this is the same order given again
}

// Next returns the order that is due; ok is false when there is none: the
// engine holds what is wanted, is carrying out an order, or was given this one
// a short while ago. Wanted state with an old fence is a *FenceError.
func (r *Reconciler) Next(now time.Time, fence fireflysaddle.Fence, wanted, actual Holding) (order fireflysaddle.Order, ok bool, err error) {
	if fence.Less(r.highest) {
		return fireflysaddle.Order{}, false, &FenceError{Got: fence, Highest: r.highest}
	}
	r.highest = fence
	order, differs := difference(wanted, actual)
	if differs && actual.Loading != "" {
		return fireflysaddle.Order{}, false, nil
	}
	if !differs {
		r.given = false
		return fireflysaddle.Order{}, false, nil
	}
	order.Fence = fence
	if r.given && order == r.last {
		if now.Before(r.next) {
			return fireflysaddle.Order{}, false, nil
		}
		r.pause = min(2*r.pause, maxPause)
	} else {
		r.pause = firstPause
	}
	r.last = order
	r.given = true
	r.next = now.Add(r.pause)
	return order, true, nil
}

// NeedsLoad reports whether an engine has to fetch weights to hold what is
// wanted.
func NeedsLoad(wanted, actual Holding) bool {
	order, differs := difference(wanted, actual)
	return differs && order.Action != ActionUnload && order.Action != ActionRole
}

// difference returns the first order that brings actual nearer to wanted.
func difference(wanted, actual Holding) (fireflysaddle.Order, bool) {
	switch {
	case wanted.Group != actual.Group:
		return fireflysaddle.Order{Action: ActionLoad, Subject: string(wanted.Group)}, true
	case wanted.Version != "" && wanted.Version != actual.Version:
		return fireflysaddle.Order{Action: ActionVersion, Subject: string(wanted.Version)}, true
	}
	for _, a := range wanted.Adapters {
		if !slices.Contains(actual.Adapters, a) {
			return fireflysaddle.Order{Action: ActionAdapter, Subject: a}, true
		}
	}
	for _, a := range actual.Adapters {
		if !slices.Contains(wanted.Adapters, a) {
			return fireflysaddle.Order{Action: ActionUnload, Subject: a}, true
		}
	}
	if wanted.Role != "" && wanted.Role != actual.Role {
		return fireflysaddle.Order{Action: ActionRole, Subject: wanted.Role}, true
	}
	return fireflysaddle.Order{}, false
}
