package saddlefleet

import "expvar"

// Counters of the fleet; docs/OPERATIONS.md lists them.
var (
	countExclusions = expvar.NewInt("target_passed_over_total")
	countLeaving    = expvar.NewInt("target_leaving_total")
	countPauses     = expvar.NewInt("target_pauses_total")
	pausedUntil     = expvar.NewMap("target_paused_until_ms")
	countLimits     = expvar.NewInt("target_limits_total")
	countDelays     = expvar.NewInt("engine_reading_delays_total")
	readingTokens   = expvar.NewMap("engine_reading_tokens")
	countFailing    = expvar.NewInt("engine_failing_total")
	countProbes     = expvar.NewMap("engine_probes_by_reason_total")
)

// probeReason tells why an entry probes an engine.
type probeReason string

const (
	probeExcluded  probeReason = "excluded"  // to readmit it
	probeSuspected probeReason = "suspected" // another entry suspects it
	probeRefused   probeReason = "refused"   // it refused its part of a request
	probeSilent    probeReason = "silent"    // no event has passed through it
)
