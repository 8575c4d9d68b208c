package saddlegateway

import (
	"sync"
	"time"
)

const (
	// returnTime is the time within which a caller that is told to return at once has returned:
	// the delay, and some round trips.
	returnTime = 150 * time.Millisecond
	// minReturnSample is the number of callers whose return shows what others will meet.
	minReturnSample = 2
	// maxRefusedCalls bounds the refused calls that are remembered.
	maxRefusedCalls = 1000
)

// returningCalls finds out during a shutdown whether callers that were told to return at once
// come back to this process: they do while the balancer has no other one for them. It is safe
// for concurrent use.
type returningCalls struct {
	mu      sync.Mutex
	refused map[string]*refusedCall // by fingerprint
}

// refusedCall is a call whose caller was told to return at once.
type refusedCall struct {
	at       time.Time
	returned bool
}

func newReturningCalls() *returningCalls {
	return &returningCalls{refused: map[string]*refusedCall{}}
}

// mostReturn reports whether at least half of the callers that have had the time to return have
// come back to this process. If not, the caller that is being refused is expected to return at
// once.
func (c *returningCalls) mostReturn(now time.Time, fingerprint string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.refused[fingerprint]; r != nil {
		r.returned = true
	}
	returned, elsewhere := 0, 0
	for _, r := range c.refused {
		switch {
		case now.Sub(r.at) < returnTime: // another caller may still return
		case r.returned:
			returned++
		default:
			elsewhere++
		}
	}
	if returned+elsewhere >= minReturnSample && returned >= elsewhere {
		return true
	}
	if c.refused[fingerprint] == nil && len(c.refused) < maxRefusedCalls {
		c.refused[fingerprint] = &refusedCall{at: now}
	}
	return false
}
