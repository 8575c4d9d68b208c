package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Target is a target as it was chosen.
type Target struct {
	ID      fireflysaddle.TargetID
	Address string
	Centre  fireflysaddle.DataCentre
}

// target is what is known of one start of a target.
type target struct {
	Target
	reg         *saddlewire.Registration
	incarnation uint64

	running  int     // requests that this entry has there
	reserved float64 // tokens x layers that this entry's requests take there

	failures  int       // in a row
	suspect   time.Time // until when others are chosen first
	reason    string
	firstSeen time.Time
}

const (
	// suspectFirst is how long a target is passed over after one failure: about
	// twice a heartbeat of a target that was started again.
	suspectFirst = time.Second
	// suspectMost bounds that time, so that one that is well again is soon used.
	suspectMost = 4 * time.Second
)

// fail notes a failure and passes the target over for a while.
func (t *target) fail(now time.Time, reason string) {
	t.failures++
	wait := min(suspectMost, suspectFirst<<min(t.failures-1, 2))
	t.suspect = now.Add(wait)
	t.reason = reason
}

func (t *target) good() {
	t.failures = 0
	t.suspect = time.Time{}
}

func (t *target) suspected(now time.Time) bool { return now.Before(t.suspect) }
