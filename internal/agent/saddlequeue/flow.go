package saddlequeue

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// flow is the queue of one workspace.
type flow struct {
	workspace fireflysaddle.Workspace
	weight    float64
	items     flowHeap
	tokens    float64 // of the items
	start     float64 // virtual time at which its next item may start
	drain     drain   // since it has a backlog
}

// ahead returns the tokens of the items that go before one.
func (f *flow) ahead(i *item) float64 {
	total := 0.0
	for _, o := range f.items {
		if o.before(i) {
			total += o.tokens()
		}
	}
	return total
}

// first returns the item that goes first and is not too late, nil: none.
func (f *flow) first(now time.Time) *item {
	var best *item
	for _, i := range f.items {
		if !i.expired(now) && (best == nil || i.before(best)) {
			best = i
		}
		if best != nil && i.inFlow == 0 {
			return best
		}
	}
	return best
}
