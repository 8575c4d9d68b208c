package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Target identifies a target that was selected for a request or a probe.
type Target struct {
	ID      fireflysaddle.TargetID
	Address string
	Centre  fireflysaddle.DataCentre
}

// target is the state of one incarnation of a target.
type target struct {
	Target
	reg            *saddlewire.Registration
	incarnation    uint64
	stepTimeFactor float64 // step time relative to other engines with its type of accelerator, at least 1

	inFlight            int     // number of this entry's requests in flight
	reservedTokenLayers float64 // tokens x layers reserved by this entry's requests

	excluded            bool      // seems to have failed, not selected for requests
	unresponsive        bool      // did not answer its last probe or lacked the registered layers
	consecutiveFailures int       // number of consecutive failed probes or requests
	nextProbe           time.Time // earliest time of the next probe
	refusedUntil        time.Time // end of the backoff after a refused request
	probeRequested      bool      // a probe was requested without excluding the target
	suspectedByPeer     bool      // listed among another entry's suspects
	probing             bool
	faultScore          float64   // recent faults, halved each faultHalfLife
	lastFault           time.Time // time of the last update of faultScore
}

const (
	// minProbeInterval is the first delay before an excluded target is probed
	// again: a short network interruption or a lost packet is over by then. The
	// delay doubles up to maxProbeInterval. A restarted target does not wait for
	// it, because it has a new registration.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 1200 * time.Millisecond
	// refusalBackoff is how long an engine that refused a request gets no further
	// requests. It is long enough for a full engine to finish some requests.
	refusalBackoff = 150 * time.Millisecond
	// faultHalfLife is the half-life of the fault score of a target that still
	// answers.
	faultHalfLife = 2 * time.Second
)

// isEngine reports whether the target is an engine, which can be probed for its
// state. Other targets are plain services.
func (t *target) isEngine() bool { return t.reg.GetAccelerator() != "" }

func (t *target) exclude(now time.Time) {
	t.excluded = true
	t.nextProbe = now.Add(min(maxProbeInterval, minProbeInterval<<min(t.consecutiveFailures, 4)))
	t.consecutiveFailures++
}

func (t *target) readmit() {
	t.excluded = false
	t.unresponsive = false
	t.consecutiveFailures = 0
}

// usable reports whether requests may be sent to the target. An excluded plain
// service cannot be probed, so the next request after nextProbe serves as the probe.
func (t *target) usable(now time.Time) bool {
	if now.Before(t.refusedUntil) {
		return false
	}
	return !t.excluded || (!t.isEngine() && now.After(t.nextProbe))
}

// addFault counts a failure that does not indicate that the target is down.
func (t *target) addFault(now time.Time) {
	t.faultScore = t.recentFaults(now) + 1
	t.lastFault = now
}

// recentFaults returns the fault score after its decay until now.
func (t *target) recentFaults(now time.Time) float64 {
	for f, age := t.faultScore, now.Sub(t.lastFault); ; f, age = f/2, age-faultHalfLife {
		if f < negligibleFaults {
			return 0
		}
		if age < faultHalfLife {
			return f
		}
	}
}

// negligibleFaults is the fault score below which a target counts as free of faults.
const negligibleFaults = 0.1
