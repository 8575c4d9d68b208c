package saddlestate

import "github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"

// How many results are kept for resends; the oldest go first.
const (
	maxChanges = 10000 // of commands that change the configuration
	maxSettled = 20000 // of commands on claims
)

// results keeps the results of the latest commands by request id.
type results struct {
	limit     int
	byRequest map[string]*saddlewire.PastResult
	order     []string // request ids, oldest first
}

func newResults(limit int) results {
	return results{limit: limit, byRequest: map[string]*saddlewire.PastResult{}}
}

// add keeps a result, unless its command has no request id.
func (r *results) add(past *saddlewire.PastResult) {
	request := past.GetRequest()
	if request == "" {
		return
	}
	r.byRequest[request] = past
	r.order = append(r.order, request)
	if len(r.order) > r.limit {
		delete(r.byRequest, r.order[0])
		r.order = r.order[1:]
	}
}

// find returns the result of the command with a request id.
func (r *results) find(request string) (*saddlewire.PastResult, bool) {
	if request == "" {
		return nil, false
	}
	past, ok := r.byRequest[request]
	return past, ok
}

// all returns the results, oldest first.
func (r *results) all() []*saddlewire.PastResult {
	out := make([]*saddlewire.PastResult, 0, len(r.order))
	for _, request := range r.order {
		out = append(out, r.byRequest[request])
	}
	return out
}
