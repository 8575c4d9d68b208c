package saddlequeue

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// item is a queued request.
type item struct {
	demand   fireflysaddle.Demand
	flow     *flow
	number   uint64    // order of arrival
	latest   time.Time // last moment to start, zero: none
	inFlow   int       // index in the flow's heap
	inExpiry int       // index in the expiry heap, where latest is set
}

// before reports whether an item of the same flow goes before another.
func (i *item) before(o *item) bool {
	switch a, b := i.demand, o.demand; {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case !a.Deadline.Equal(b.Deadline):
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return i.number < o.number
}

// tokens returns the estimated size, at least 1.
func (i *item) tokens() float64 { return size(i.demand) }

func size(d fireflysaddle.Demand) float64 { return float64(max(d.Tokens, 1)) }

// expired reports whether it is too late to start the item.
func (i *item) expired(now time.Time) bool {
	return !i.latest.IsZero() && now.After(i.latest)
}

// flowHeap orders the items of one flow.
type flowHeap []*item

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(a, b int) bool { return h[a].before(h[b]) }

func (h flowHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].inFlow, h[b].inFlow = a, b
}

func (h *flowHeap) Push(x any) {
	i := x.(*item)
	i.inFlow = len(*h)
	*h = append(*h, i)
}

func (h *flowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expiryHeap orders items by the last moment to start them.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].latest.Before(h[b].latest) }

func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].inExpiry, h[b].inExpiry = a, b
}

func (h *expiryHeap) Push(x any) {
	i := x.(*item)
	i.inExpiry = len(*h)
	*h = append(*h, i)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
