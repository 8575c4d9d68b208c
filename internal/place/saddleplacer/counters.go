package saddleplacer

import "expvar"

// Counters of placement; docs/OPERATIONS.md lists them.
var (
	countOrders = expvar.NewInt("placement_orders_total")
	countLooks  = expvar.NewInt("placement_looks_total")
)
