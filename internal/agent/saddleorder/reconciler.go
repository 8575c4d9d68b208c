package saddleorder

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// initialRetryInterval is the time after which an order that has had no effect is
	// sent again. It doubles with each retry, up to maxRetryInterval.
	initialRetryInterval = 2 * time.Second
	maxRetryInterval     = time.Minute
)

// Reconciler determines the orders for one engine, one at a time. It checks fences
// on behalf of engines that do not: a desired state with a lower fence than the
// highest one seen yields no order. It is not safe for concurrent use.
type Reconciler struct {
	highestFence   fireflysaddle.Fence
	lastOrder      fireflysaddle.Order // latest order returned by Next
	awaitingEffect bool                // lastOrder was returned, and the desired state has not been reached since
	retryInterval  time.Duration
	retryAt        time.Time // earliest time at which lastOrder is returned again
}

// Next returns the order that is due. ok is false when there is none: the engine is
// in the desired state, is executing an order, or was sent the same order less than
// the retry interval ago. For a desired state with a stale fence it returns a
// *StaleFenceError.
func (r *Reconciler) Next(now time.Time, fence fireflysaddle.Fence, desired, actual EngineState) (order fireflysaddle.Order, ok bool, err error) {
	if fence.Less(r.highestFence) {
		return fireflysaddle.Order{}, false, &StaleFenceError{Got: fence, Highest: r.highestFence}
	}
	r.highestFence = fence
	order, differs := nextOrder(desired, actual)
	if differs && actual.OrderInProgress != "" {
		return fireflysaddle.Order{}, false, nil
	}
	if !differs {
		r.awaitingEffect = false
		return fireflysaddle.Order{}, false, nil
	}
	order.Fence = fence
	if r.awaitingEffect && order == r.lastOrder {
		if now.Before(r.retryAt) {
			return fireflysaddle.Order{}, false, nil
		}
		r.retryInterval = min(2*r.retryInterval, maxRetryInterval)
	} else {
		r.retryInterval = initialRetryInterval
	}
	r.lastOrder = order
	r.awaitingEffect = true
	r.retryAt = now.Add(r.retryInterval)
	return order, true, nil
}

// NeedsLoad reports whether the next order towards the desired state makes the
// engine fetch weights.
func NeedsLoad(desired, actual EngineState) bool {
	order, differs := nextOrder(desired, actual)
	return differs && order.Action != ActionUnload && order.Action != ActionRole
}

// nextOrder returns the first order towards the desired state. It returns false
// when no order is needed.
func nextOrder(desired, actual EngineState) (fireflysaddle.Order, bool) {
	switch {
	case desired.Group != actual.Group:
		return fireflysaddle.Order{Action: ActionLoad, Subject: string(desired.Group)}, true
	case desired.Version != "" && desired.Version != actual.Version:
		return fireflysaddle.Order{Action: ActionVersion, Subject: string(desired.Version)}, true
	}
	for _, a := range desired.Adapters {
		if !slices.Contains(actual.Adapters, a) {
			return fireflysaddle.Order{Action: ActionAdapter, Subject: a}, true
		}
	}
	for _, a := range actual.Adapters {
		if !slices.Contains(desired.Adapters, a) {
			return fireflysaddle.Order{Action: ActionUnload, Subject: a}, true
		}
	}
	if desired.Role != "" && desired.Role != actual.Role {
		return fireflysaddle.Order{Action: ActionRole, Subject: desired.Role}, true
	}
	return fireflysaddle.Order{}, false
}
