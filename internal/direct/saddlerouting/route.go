package saddlerouting

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Kind says what of a route's requests may be repeated.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // at most one run
	Idempotent                // any number of runs
	Streaming                 // a series of events; may go on at another target where the route is resumable
)

// String returns the kind's name in logs.
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

// Route sends the requests of one host and path prefix to groups of targets.
type Route struct {
	Name               string
	Host               string
	Prefix             string // begins and ends with a slash
	Kind               Kind
	Timeout            time.Duration // longest time until the answer has ended
	FirstByteObjective time.Duration // until the first byte of an answer that is on time
	EventGapObjective  time.Duration // longest pause between events that is on time
	Priority           int           // 0 goes first
	Split              []Share
	MaxAttempts        int  // targets that may run one request
	Public             bool // needs no key
	Resumable          bool // a broken stream may go on at another target
	Sticky             bool // requests name a model and their prompt
}

// Share is the part of a route's requests that go to a group.
type Share struct {
	Group  fireflysaddle.Group
	Weight int
}

// Pick returns the group for a request; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) fireflysaddle.Group {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.Split {
		if at < float64(s.Weight) {
			return s.Group
		}
		at -= float64(s.Weight)
	}
	return r.Split[len(r.Split)-1].Group
}

// Retryable reports whether a request that may have run may be sent again.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}
