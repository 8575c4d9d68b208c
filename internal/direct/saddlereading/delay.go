package saddlereading

import "time"

// tolerated is the fraction of the objective for the first event that a prompt may wait for the
// prompts before it. Three quarters are left for its own read and for the load of the engines.
const tolerated = 0.25

// Excess returns by how much the wait at an engine exceeds what a prompt may wait there. own is the
// predicted read of the prompts that this entry has sent to the engine and that have no event
// yet. The other entries are assumed to have sent as much each, because entries choose
// alike. Excess returns 0 without an objective.
func Excess(own time.Duration, entries int, objective time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return max(0, own*time.Duration(max(1, entries))-time.Duration(tolerated*float64(objective)))
}
