package saddlefleet

import (
	"strconv"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Target identifies a target that was selected for a request or a probe.
type Target struct {
	ID      fireflysaddle.TargetID
	Address string
	Centre  fireflysaddle.DataCentre

	incarnation uint64
}

// Lifetime identifies this start of the target.
func (t Target) Lifetime() string {
	return string(t.ID) + "/" + strconv.FormatUint(t.incarnation, 10)
}

// target is the state of one incarnation of a target.
type target struct {
	Target
	section         fireflysaddle.Section // to which its reservations count
	reg             *saddlewire.Registration
	layersChangedAt time.Time // arrival of the registration with its present layers
	stepTimeFactor  float64   // step time relative to other engines with its type of accelerator, at least 1

	indexed             bool          // is in the index
	leaving             bool          // its registration says that it is leaving
	inFlight            int           // number of this entry's requests in flight
	headRequests        int           // number of this entry's requests in flight of which it is the head
	prompts             decayingCount // prompt tokens that this entry recently sent through it
	reservedTokenLayers float64       // tokens x layers reserved by this entry's requests

	excluded            bool          // seems to have failed, not selected for requests
	ended               bool          // a probe since its last answer showed that this incarnation has ended
	unresponsive        bool          // did not answer its last probe or lacked the registered layers
	consecutiveFailures int           // number of consecutive failed probes or requests
	nextProbe           time.Time     // earliest time of the next probe
	refusedUntil        time.Time     // end of the backoff after a refused request
	reading             time.Duration // predicted read of this entry's prompts that have no event yet
	delayed             bool          // these prompts delay the next one by more than it may wait
	pause               pause
	limit               limit
	probeRequested      probeReason // of a probe that was requested without excluding the target; empty: none
	suspectedByPeer     bool        // listed among another entry's suspects
	probing             bool
	faults              decayingCount // recent faults
	successes           decayingCount // recent drafts that ended as they should; engines only
	failingUntil        time.Time     // end of the time for which the engine counts as failing as a head
	failingForPeers     int           // number of other entries of this data centre that list it as failing
}

const (
	// minProbeInterval is the first delay before an excluded target is probed
	// again: a short network interruption or a lost packet is over by then. The
	// delay doubles up to maxProbeInterval. A restarted target does not wait for
	// it, because it has a new registration.
	minProbeInterval = 300 * time.Millisecond
	maxProbeInterval = 1200 * time.Millisecond
	// maxReprobeInterval bounds the time before an engine that answered is probed again,
	// however many entries share it.
	maxReprobeInterval = time.Second
	// reportLag is the greatest age of the state in an engine's report. A registration may
	// be newer.
	reportLag = 300 * time.Millisecond
	// probingEntries is the number of entries of a data centre that may each probe an engine
	// that answers once in minProbeInterval. More entries probe it less often: together, and
	// each tells the others of a failed probe, they find its loss as soon as three do.
	probingEntries = 3
	// refusalBackoff is how long an engine that refused a request gets no further
	// requests. It is long enough for a full engine to finish some requests.
	refusalBackoff = 150 * time.Millisecond
	// failingTime is how long an engine counts as failing after a fault. Then a draft
	// begins there again, and a fault of it restarts the time.
	failingTime = 2 * time.Second
	// failingShare is the share of faults among recent drafts from which an engine counts
	// as failing.
	failingShare = 0.25
	// minFailingPeers is the number of other entries of a data centre that must list an
	// engine as failing before this entry takes it for failing too. One entry may have
	// trouble of its own.
	minFailingPeers = 2
)

// isEngine reports whether the target is an engine, which can be probed for its
// state. Other targets are plain services.
func (t *target) isEngine() bool { return t.reg.GetAccelerator() != "" }

// probeReason returns why the target needs a probe, or "" if it needs none.
func (t *target) probeReason() probeReason {
	switch {
	case t.excluded:
		return probeExcluded
	case t.suspectedByPeer:
		return probeSuspected
	}
	return t.probeRequested
}

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

// failing reports whether drafts should begin at other engines, because the engine fails
// many of them although it answers probes.
func (t *target) failing(now time.Time) bool {
	return now.Before(t.failingUntil) || t.failingForPeers >= minFailingPeers
}

// inOrder reports whether the target answers, is not suspected, and states no limit.
func (t *target) inOrder(now time.Time) bool {
	_, limited := t.limit.current(now)
	return !t.excluded && !t.unresponsive && t.probeRequested == "" && !t.suspectedByPeer &&
		!now.Before(t.failingUntil) && t.failingForPeers == 0 && !limited && t.limit.peersSince.IsZero()
}
