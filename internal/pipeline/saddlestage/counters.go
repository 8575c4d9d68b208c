package saddlestage

import "expvar"

// Counters of the stages. docs/OPERATIONS.md lists them with their units.
var (
	countSteps      = expvar.NewInt("stage_steps_total")
	countFrames     = expvar.NewInt("stage_frames_sent_total")
	countLinksLost  = expvar.NewInt("stage_links_lost_total")
	countFaults     = expvar.NewInt("stage_faults_total")
	countDuplicates = expvar.NewInt("stage_duplicates_dropped_total")
	countReplaced   = expvar.NewInt("stage_replaced_total")
	countReplayed   = expvar.NewInt("stage_replayed_positions_total")
	countExports    = expvar.NewInt("stage_exports_total")
	countBufferFull = expvar.NewInt("stage_buffer_full_total")
	countOrphans    = expvar.NewInt("stage_orphans_dropped_total")
)

// Exports returns the number of KV cache exports sent by the runners of this
// process.
func Exports() int64 { return countExports.Value() }
