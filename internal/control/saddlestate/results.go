package saddlestate

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// Numbers of results kept to recognise resent commands. The oldest are removed
// first.
const (
	maxConfigurationResults = 10000 // results of commands that have a digest
	maxClaimResults         = 20000 // results of all other commands, mostly on claims
)

// resultWindow holds the results of the latest commands by request id.
type resultWindow struct {
	capacity  int
	byRequest map[string]*saddlewire.PastResult
	order     []string // request ids, oldest first
}

func newResultWindow(capacity int) resultWindow {
	return resultWindow{capacity: capacity, byRequest: map[string]*saddlewire.PastResult{}}
}

// add stores a result, unless its command has no request id.
func (r *resultWindow) add(result *saddlewire.PastResult) {
	request := result.GetRequest()
	if request == "" {
		return
	}
	r.byRequest[request] = result
	r.order = append(r.order, request)
	if len(r.order) > r.capacity {
		delete(r.byRequest, r.order[0])
		r.order = r.order[1:]
	}
}

// find returns the stored result for a request id and whether there is one.
func (r *resultWindow) find(request string) (*saddlewire.PastResult, bool) {
	if request == "" {
		return nil, false
	}
	result, ok := r.byRequest[request]
	return result, ok
}

// all returns the results, oldest first.
func (r *resultWindow) all() []*saddlewire.PastResult {
	out := make([]*saddlewire.PastResult, 0, len(r.order))
	for _, request := range r.order {
		out = append(out, r.byRequest[request])
	}
	return out
}
