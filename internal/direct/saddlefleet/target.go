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
	pace        float64 // factor by which it is slower than its kind, at least 1

	running  int     // requests that this entry has there
	reserved float64 // tokens x layers that this entry's requests take there

	passedOver bool      // it seems to have failed
	confirmed  bool      // it did not tell its state when asked
	failures   int       // in a row, of probes or of requests
	lookAt     time.Time // passed over: when it is looked at again
	refused    time.Time // until when it is left alone after it refused a request
	doubted    bool      // it refused a request, and is to be asked whether it works
	hinted     bool      // another entry passes it over, and this one has not looked yet
	probing    bool
	faults     float64   // recent failures of its own, halved each faultsHalf
	faultsAt   time.Time // of the last one
}

const (
	// lookFirst is when a target that was passed over is looked at again: a cut or
	// a lost packet is over by then. The time doubles up to lookMost; a target that
	// was started again comes with a new registration.
	lookFirst = 300 * time.Millisecond
	lookMost  = 1200 * time.Millisecond
	// refusedFor is for how long an engine that refused a request is left alone: one
	// that is full has ended some requests by then.
	refusedFor = 150 * time.Millisecond
	// faultsHalf is the time in which the failures of a target that goes on
	// answering count half.
	faultsHalf = 2 * time.Second
)

// engine reports whether the target holds layers of a model, and so can be asked
// for its state.
func (t *target) engine() bool { return t.reg.GetAccelerator() != "" }

func (t *target) fail(now time.Time) {
	t.passedOver = true
	t.lookAt = now.Add(min(lookMost, lookFirst<<min(t.failures, 4)))
	t.failures++
}

func (t *target) good() {
	t.passedOver = false
	t.confirmed = false
	t.failures = 0
}

// usable reports whether requests may be sent there: to a plain service that was
// passed over the next one goes as a probe.
func (t *target) usable(now time.Time) bool {
	if now.Before(t.refused) {
		return false
	}
	return !t.passedOver || (!t.engine() && now.After(t.lookAt))
}

// fault notes a failure that is no sign that the target is down.
func (t *target) fault(now time.Time) {
	t.faults = t.recentFaults(now) + 1
	t.faultsAt = now
}

func (t *target) recentFaults(now time.Time) float64 {
	for f, age := t.faults, now.Sub(t.faultsAt); ; f, age = f/2, age-faultsHalf {
		if f < faultsGone {
			return 0
		}
		if age < faultsHalf {
			return f
		}
	}
}

// faultsGone is where failures of long ago are forgotten.
const faultsGone = 0.1
