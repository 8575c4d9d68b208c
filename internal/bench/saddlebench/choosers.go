package saddlebench

import (
	"math/rand/v2"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebaseline"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
)

// namedChooser is a chooser that takes part in the comparison.
type namedChooser struct {
	name       string
	newChooser func(seed uint64) fireflysaddle.Chooser
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

// latencyChooserWith returns a constructor of LatencyChoosers. Their settings are
// the default settings as changed by modify.
func latencyChooserWith(modify func(*saddlechoice.Settings)) func(uint64) fireflysaddle.Chooser {
	s := saddlechoice.DefaultSettings()
	modify(&s)
	return func(seed uint64) fireflysaddle.Chooser { return saddlechoice.NewLatencyChooserWith(newRand(seed), s) }
}

// baselines returns the simple choosers that the LatencyChooser is compared with.
func baselines() []namedChooser {
	return []namedChooser{
		{"random", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewRandom(newRand(seed)) }},
		{"round robin", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewRoundRobin(int(seed)) }},
		{"least in flight", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewLeastInFlight(newRand(seed)) }},
		{"least reported", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewLeastReported(newRand(seed)) }},
	}
}

// latencyChoosers returns, in this order, the LatencyChooser that entries use, the
// same chooser without prefix hints, and further variants.
func latencyChoosers() []namedChooser {
	return []namedChooser{
		{"predicted", latencyChooserWith(func(*saddlechoice.Settings) {})},
		{"predicted, no hints", latencyChooserWith(func(s *saddlechoice.Settings) { s.PrefixHints = false })},
		{"predicted, of 4", latencyChooserWith(func(s *saddlechoice.Settings) { s.Candidates = 4 })},
		{"predicted, of 6", latencyChooserWith(func(s *saddlechoice.Settings) { s.Candidates = 6 })},
		{"predicted, generation by 0.02", latencyChooserWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.02 })},
		{"predicted, generation by 0.05", latencyChooserWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.05 })},
		{"predicted, generation by 0.2", latencyChooserWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.2 })},
		{"predicted, generation by 1", latencyChooserWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 1 })},
		{"predicted, misses by 2", latencyChooserWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 2 })},
		{"predicted, misses by 4", latencyChooserWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 4 })},
		{"predicted, misses by 8", latencyChooserWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 8 })},
	}
}
