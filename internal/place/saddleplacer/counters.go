package saddleplacer

import "expvar"

// docs/OPERATIONS.md lists the counters of placement.
var (
	countOrders = expvar.NewInt("placement_orders_total")
	countProbes = expvar.NewInt("placement_looks_total")
)
