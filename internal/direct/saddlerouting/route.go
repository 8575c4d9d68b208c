package saddlerouting

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Kind is the kind of a route. It determines whether its requests may be sent again.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // a request runs at most once
	Idempotent                // a request may safely run more than once
	Streaming                 // the answer is a stream of events; it can continue at another target if the route is resumable
)

// String returns the name of the kind that logs use.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	case NonIdempotent:
	}
	return "non_idempotent"
}

const (
	// minCallerPatience, patienceObjectives and patienceGaps determine how long callers wait
	// for the next event of a stream, as the platform states it: the longest of two seconds,
	// a multiple of the objective for the first event, and a multiple of that for pauses.
	minCallerPatience  = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// Route sends the requests of one host and path prefix to groups of targets.
type Route struct {
	Name               string
	Host               string
	Prefix             string // begins and ends with a slash
	Kind               Kind
	Timeout            time.Duration // upper bound on the time to the end of the answer
	FirstByteObjective time.Duration // time to the first byte within which an answer is on time
	EventGapObjective  time.Duration // pause between events within which an answer is on time
	Priority           int           // 0 is the highest
	Split              []Share
	MaxAttempts        int  // upper bound on the targets that may run one request
	Public             bool // requests need no key
	Resumable          bool // an interrupted stream can continue at another target
	Sticky             bool // the configuration states that requests carry a model and a prompt; decoded but not used
}

// Share is the share of a route's requests that goes to a group.
type Share struct {
	Group  fireflysaddle.Group
	Weight int
}

// Pick returns the group for a request, given a random number draw that is uniform in
// [0, 1). It must not be called before Check has passed.
func (r *Route) Pick(draw float64) fireflysaddle.Group {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	offset := draw * float64(total)
	for _, s := range r.Split {
		if offset < float64(s.Weight) {
			return s.Group
		}
		offset -= float64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Group
}

// Retryable reports whether a request that may already have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// CallerPatience returns how long callers wait for the next event of a stream, also for the
// first one, before they disconnect.
func (r *Route) CallerPatience() time.Duration {
	return max(minCallerPatience, patienceObjectives*r.FirstByteObjective, patienceGaps*r.EventGapObjective)
}
