package saddlebench

import (
	"math/rand/v2"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebaseline"
	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddlechoice"
)

// namedChooser is one way of choosing that is compared.
type namedChooser struct {
	name string
	make func(seed uint64) fireflysaddle.Chooser
}

func source(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 3)) }

func predictWith(change func(*saddlechoice.Settings)) func(uint64) fireflysaddle.Chooser {
	s := saddlechoice.DefaultSettings()
	change(&s)
	return func(seed uint64) fireflysaddle.Chooser { return saddlechoice.NewLatencyChooserWith(source(seed), s) }
}

// baselines are the plain ways.
func baselines() []namedChooser {
	return []namedChooser{
		{"random", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewRandom(source(seed)) }},
		{"round robin", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewRoundRobin(int(seed)) }},
		{"least in flight", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewLeastInFlight(source(seed)) }},
		{"least reported", func(seed uint64) fireflysaddle.Chooser { return saddlebaseline.NewLeastReported(source(seed)) }},
	}
}

// predictions are the product's way and variants of it.
func predictions() []namedChooser {
	return []namedChooser{
		{"predicted", predictWith(func(*saddlechoice.Settings) {})},
		{"predicted, no hints", predictWith(func(s *saddlechoice.Settings) { s.PrefixHints = false })},
		{"predicted, of 4", predictWith(func(s *saddlechoice.Settings) { s.Candidates = 4 })},
		{"predicted, of 6", predictWith(func(s *saddlechoice.Settings) { s.Candidates = 6 })},
		{"predicted, generation by 0.02", predictWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.02 })},
		{"predicted, generation by 0.05", predictWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.05 })},
		{"predicted, generation by 0.2", predictWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 0.2 })},
		{"predicted, generation by 1", predictWith(func(s *saddlechoice.Settings) { s.GenerationWeight = 1 })},
		{"predicted, misses by 2", predictWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 2 })},
		{"predicted, misses by 4", predictWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 4 })},
		{"predicted, misses by 8", predictWith(func(s *saddlechoice.Settings) { s.PrefillWeight = 8 })},
	}
}
