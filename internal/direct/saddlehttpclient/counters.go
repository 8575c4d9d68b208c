package saddlehttpclient

import "expvar"

// Counters of the connections to targets; docs/OPERATIONS.md lists them.
var (
	countDials = expvar.NewInt("target_connections_opened_total")
	countStray = expvar.NewInt("target_stray_answers_total")
)
