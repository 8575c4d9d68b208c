package saddledaemon

import "expvar"

// Counters of the daemons; docs/OPERATIONS.md lists them.
var (
	countReopened = expvar.NewInt("control_replica_reopened_total")
	countReloads  = expvar.NewInt("settings_reloads_total")
	countFetches  = expvar.NewInt("routing_fetches_total")
)
