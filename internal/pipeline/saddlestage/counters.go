package saddlestage

import "expvar"

// Counters of the stages; docs/OPERATIONS.md lists them with units.
var (
	countSteps     = expvar.NewInt("stage_steps_total")
	countFrames    = expvar.NewInt("stage_frames_sent_total")
	countLinksLost = expvar.NewInt("stage_links_lost_total")
	countFaults    = expvar.NewInt("stage_faults_total")
)
