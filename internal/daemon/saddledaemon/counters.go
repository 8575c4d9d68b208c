package saddledaemon

import "expvar"

// Counters of the daemons; docs/OPERATIONS.md lists them.
var (
	countReplicaReopens  = expvar.NewInt("control_replica_reopened_total")
	countSettingsReloads = expvar.NewInt("settings_reloads_total")
	countReloadsRefused  = expvar.NewInt("settings_reloads_refused_total")
	publishedSettings    = expvar.NewString("settings_digest")
	countRoutingFetches  = expvar.NewInt("routing_fetches_total")
)
