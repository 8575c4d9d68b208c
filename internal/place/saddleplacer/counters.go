package saddleplacer

import "expvar"

// docs/OPERATIONS.md lists the counters of placement.
var (
	countOrders = expvar.NewInt("placement_orders_total")
	// placement_looks_total counts probes. It keeps its older name, because metric names
	// do not change.
	countProbes = expvar.NewInt("placement_looks_total")
)
