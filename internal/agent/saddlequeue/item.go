package saddlequeue

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// item is a queued request.
type item struct {
	demand      fireflysaddle.Demand
	flow        *flow
	arrival     uint64    // sequence number of arrival
	latestStart time.Time // latest start that meets the deadline; zero without a deadline
	flowIndex   int       // position in the flow's heap
	expiryIndex int       // position in the expiry heap; valid only if latestStart is set
}

// before reports whether i is served before o, an item of the same flow.
func (i *item) before(o *item) bool {
	switch a, b := i.demand, o.demand; {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case !a.Deadline.Equal(b.Deadline):
		return !a.Deadline.IsZero() && (b.Deadline.IsZero() || a.Deadline.Before(b.Deadline))
	}
	return i.arrival < o.arrival
}

// tokens returns the estimated size of the request, at least 1.
func (i *item) tokens() float64 { return demandTokens(i.demand) }

func demandTokens(d fireflysaddle.Demand) float64 { return float64(max(d.Tokens, 1)) }

// expired reports whether the item can no longer meet its deadline.
func (i *item) expired(now time.Time) bool {
	return !i.latestStart.IsZero() && now.After(i.latestStart)
}

// flowHeap orders the items of one flow by the order of service.
type flowHeap []*item

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(a, b int) bool { return h[a].before(h[b]) }

func (h flowHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].flowIndex, h[b].flowIndex = a, b
}

func (h *flowHeap) Push(x any) {
	i := x.(*item)
	i.flowIndex = len(*h)
	*h = append(*h, i)
}

func (h *flowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// expiryHeap orders the items of all flows by their latest start.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(a, b int) bool { return h[a].latestStart.Before(h[b].latestStart) }

func (h expiryHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].expiryIndex, h[b].expiryIndex = a, b
}

func (h *expiryHeap) Push(x any) {
	i := x.(*item)
	i.expiryIndex = len(*h)
	*h = append(*h, i)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
