package saddlechoice

import "time"

// Settings holds the parameters of a LatencyChooser. docs/MEASUREMENTS.md gives
// the measurements behind the defaults.
type Settings struct {
	// Candidates is the minimum number of targets to score. All targets that may have the
	// prompt's prefix cached are scored, and at least one randomly drawn target.
	Candidates       int
	GenerationWeight float64       // weight of the generation time relative to the time to the first token
	ReportHalfLife   time.Duration // age at which a load report has half its initial weight
	PrefillWeight    float64       // weight of the prefill time of prompt tokens that are not cached
	PrefixHints      bool          // consider targets that may have the prompt's prefix cached
}

// DefaultSettings returns the settings that entries use.
func DefaultSettings() Settings {
	return Settings{Candidates: 2, GenerationWeight: 0, PrefillWeight: 1, ReportHalfLife: 2 * time.Second, PrefixHints: true}
}
