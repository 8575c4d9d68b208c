package saddlechoice

import "time"

// Settings tune Predict; docs/MEASUREMENTS.md holds the figures behind the
// default.
type Settings struct {
	Draws         int           // candidates; hinted ones count, at least one is drawn by speed
	GenerateShare float64       // weight of the generation time against the first token's
	HalfLife      time.Duration // age at which a load report counts half
	MissWeight    float64       // weight of the time to read the part of the prompt that is not cached
	Hints         bool          // consider targets that may hold the prompt's prefix
}

// DefaultSettings returns the settings that entries use.
func DefaultSettings() Settings {
	return Settings{Draws: 2, GenerateShare: 0, MissWeight: 1, HalfLife: 2 * time.Second, Hints: true}
}
