package saddleplacer

import "expvar"

// docs/OPERATIONS.md lists the counters of placement.
var (
	ordersTotal = expvar.NewInt("placement_orders_total")
	probesTotal = expvar.NewInt("placement_looks_total")
)
