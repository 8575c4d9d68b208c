package saddlebudget

import "expvar"

// Counters of the memory for answers, documented in docs/OPERATIONS.md.
var (
	gaugeReserved            = expvar.NewInt("answer_memory_bytes")
	countReservationsRefused = expvar.NewInt("answer_memory_refused_total")
	countRequestsRefused     = expvar.NewInt("requests_refused_for_memory_total")
)
