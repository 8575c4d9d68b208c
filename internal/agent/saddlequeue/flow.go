package saddlequeue

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// flow is the queue of one workspace.
type flow struct {
	workspace   fireflysaddle.Workspace
	weight      float64
	items       flowHeap
	tokens      float64     // sum over items
	startTag    float64     // virtual start time of the next item
	serviceRate serviceRate // measured since the backlog began
}

// tokensAhead returns the tokens of the queued items that are served before i.
func (f *flow) tokensAhead(i *item) float64 {
	total := 0.0
	for _, o := range f.items {
		if o.before(i) {
			total += o.tokens()
		}
	}
	return total
}

// nextItem returns the first item in service order that has not expired, or nil.
func (f *flow) nextItem(now time.Time) *item {
	var best *item
	for _, i := range f.items {
		if !i.expired(now) && (best == nil || i.before(best)) {
			best = i
		}
		if best != nil && i.flowIndex == 0 {
			return best
		}
	}
	return best
}
