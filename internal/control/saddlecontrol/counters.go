package saddlecontrol

import "expvar"

// Counters of the control role; docs/OPERATIONS.md lists them with units.
var (
	countCommands           = expvar.NewInt("control_commands_total")
	countLogSyncs           = expvar.NewInt("control_log_syncs_total")
	countLeaderChanges      = expvar.NewInt("control_leader_changes_total")
	countHeartbeats         = expvar.NewInt("control_beats_total")
	countOutdatedHeartbeats = expvar.NewInt("control_beats_outdated_total")
	countUpdates            = expvar.NewInt("control_updates_total")
	countSnapshots          = expvar.NewInt("control_snapshots_total")
	countSnapshotWaits      = expvar.NewInt("control_snapshot_waits_total")
	countNodesCutOff        = expvar.NewInt("control_nodes_cut_off_total")
	countMessagesDropped    = expvar.NewInt("control_messages_dropped_total")
)
