package saddleplacer

import "expvar"

// docs/OPERATIONS.md lists the counters of placement.
var (
	countOrders = expvar.NewInt("placement_orders_total")
	// placement_looks_total counts probes. It keeps its older name, because metric names
	// do not change.
	countProbes         = expvar.NewInt("placement_looks_total")
	countProbesByReason = expvar.NewMap("placement_probes_by_reason_total")
)

// probeReason tells why placement requested a report of an engine.
type probeReason string

const (
	probeOccupancy probeReason = "occupancy" // for the occupancy of its KV cache
	probeStepTime  probeReason = "step_time" // for its step time factor
	probeSilent    probeReason = "silent"    // its registrations have ended
	probeLoading   probeReason = "loading"   // to learn whether it holds the layers of an order
	probeRevision  probeReason = "revision"  // for its order count, after it refused an order
)

func countProbe(reason probeReason) {
	countProbes.Add(1)
	countProbesByReason.Add(string(reason), 1)
}
