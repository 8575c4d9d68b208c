package saddlehttpclient

import "expvar"

// Counters of the connections to targets, documented in docs/OPERATIONS.md.
var (
	dialsTotal        = expvar.NewInt("target_connections_opened_total")
	strayAnswersTotal = expvar.NewInt("target_stray_answers_total")
)
