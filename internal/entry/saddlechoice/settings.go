package saddlechoice

import "time"

// Settings tune Predict; docs/MEASUREMENTS.md holds the figures behind the
// default.
type Settings struct {
	Candidates       int           // candidates; hinted ones count, at least one is drawn by speed
	GenerationWeight float64       // weight of the generation time against the first token's
	HalfLife         time.Duration // age at which a load report counts half
	PrefillWeight    float64       // weight of the time to read the part of the prompt that is not cached
	PrefixHints      bool          // consider targets that may hold the prompt's prefix
}

// DefaultSettings returns the settings that entries use.
func DefaultSettings() Settings {
	return Settings{Candidates: 2, GenerationWeight: 0, PrefillWeight: 1, HalfLife: 2 * time.Second, PrefixHints: true}
}
