package saddlecontrol

import "expvar"

// Counters of the control role; docs/OPERATIONS.md lists them with units.
var (
	countCommands  = expvar.NewInt("control_commands_total")
	countSyncs     = expvar.NewInt("control_log_syncs_total")
	countElections = expvar.NewInt("control_leader_changes_total")
	countBeats     = expvar.NewInt("control_beats_total")
	countUpdates   = expvar.NewInt("control_updates_total")
	countSnapshots = expvar.NewInt("control_snapshots_total")
	countSilent    = expvar.NewInt("control_nodes_cut_off_total")
	countDropped   = expvar.NewInt("control_messages_dropped_total")
)
