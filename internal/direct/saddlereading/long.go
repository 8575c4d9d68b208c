package saddlereading

import "time"

// longFraction is the fraction of the objective for the first event from which a read is long.
// A prompt that waits for a shorter read still has three quarters of its objective for its own
// read and for the load of the engines.
const longFraction = 0.25

// Long reports whether a prompt that is read for the duration read must not be waited for by
// requests with an objective for the first event; 0: the objective or the rate is not known.
func Long(read, objective time.Duration) bool {
	return objective > 0 && read > 0 && float64(read) >= longFraction*float64(objective)
}
