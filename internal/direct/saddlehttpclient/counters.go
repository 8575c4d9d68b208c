package saddlehttpclient

import "expvar"

// Counters of the connections to targets, documented in docs/OPERATIONS.md.
var (
	countDials        = expvar.NewInt("target_connections_opened_total")
	countStrayAnswers = expvar.NewInt("target_stray_answers_total")
)
