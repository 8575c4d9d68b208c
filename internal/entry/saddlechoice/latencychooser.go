package saddlechoice

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// LatencyChooser chooses the candidate with the lowest predicted latency. The
// candidates are all targets that may have the prompt's prefix cached, and targets
// drawn at random with a probability proportional to their speed. The chooser draws as
// many targets as are missing to reach Settings.Candidates, and at least one.
type LatencyChooser struct {
	rand       *rand.Rand
	settings   Settings
	meanTokens float64 // exponential moving average of the requests' MaxTokens
}

// NewLatencyChooser returns a chooser with the default settings that uses the given
// source of random numbers.
func NewLatencyChooser(r *rand.Rand) *LatencyChooser {
	return NewLatencyChooserWith(r, DefaultSettings())
}

// NewLatencyChooserWith returns a chooser with the given settings.
func NewLatencyChooserWith(r *rand.Rand, s Settings) *LatencyChooser {
	return &LatencyChooser{rand: r, settings: s}
}

const (
	meanSmoothing   = 0.02 // weight of the latest request in the moving average
	maxDrawAttempts = 4    // limit of the draws for one candidate; a draw is repeated if it returns an unavailable target or the best candidate so far
)

// Choose returns the index of the chosen target, or false when no target is
// available.
func (l *LatencyChooser) Choose(_ time.Time, w fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	if pool.Len() == 0 {
		return 0, false
	}
	l.recordWork(w)
	best := bestCandidate{index: -1, score: math.Inf(1)}
	prefixHolders := l.scorePrefixHolders(w, pool, &best)
	for range max(l.settings.Candidates-prefixHolders, 1) {
		l.scoreDrawn(w, pool, &best)
	}
	if best.index < 0 {
		return l.chooseFromAll(w, pool)
	}
	return best.index, true
}

// bestCandidate is the candidate with the lowest score so far. Its index is -1 while
// there is none.
type bestCandidate struct {
	index int
	score float64
}

func (b *bestCandidate) update(index int, score float64) {
	if score < b.score {
		*b = bestCandidate{index: index, score: score}
	}
}

// scorePrefixHolders scores the available targets that may have the prompt's prefix
// cached and returns their number.
func (l *LatencyChooser) scorePrefixHolders(w fireflysaddle.Work, pool fireflysaddle.Pool, best *bestCandidate) int {
	if !l.settings.PrefixHints {
		return 0
	}
	n := 0
	for _, i := range pool.PrefixHolders() {
		if c, ok := pool.Candidate(i); ok {
			best.update(i, l.score(w, c))
			n++
		}
	}
	return n
}

// scoreDrawn draws until it finds an available target that is not the best candidate so
// far, and scores that target. It scores none if maxDrawAttempts draws find none.
func (l *LatencyChooser) scoreDrawn(w fireflysaddle.Work, pool fireflysaddle.Pool, best *bestCandidate) {
	for range maxDrawAttempts {
		i := pool.Draw(l.rand.Float64())
		if i == best.index {
			continue
		}
		if c, ok := pool.Candidate(i); ok {
			best.update(i, l.score(w, c))
			return
		}
	}
}

// chooseFromAll scores every target. It is the fallback for pools in which so few
// targets are available that draws find none.
func (l *LatencyChooser) chooseFromAll(w fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	best := bestCandidate{index: -1, score: math.Inf(1)}
	for i := range pool.Len() {
		if c, ok := pool.Candidate(i); ok {
			best.update(i, l.score(w, c))
		}
	}
	return best.index, best.index >= 0
}

func (l *LatencyChooser) recordWork(w fireflysaddle.Work) {
	tokens := float64(max(w.MaxTokens, 1))
	if l.meanTokens == 0 {
		l.meanTokens = tokens
	}
	l.meanTokens += meanSmoothing * (tokens - l.meanTokens)
}

// score returns the predicted time to the first token plus the weighted generation
// time after it, in seconds. The prefill of tokens that are not cached also delays the
// requests queued at the target, so its weight grows with their number.
func (l *LatencyChooser) score(w fireflysaddle.Work, c fireflysaddle.Candidate) float64 {
	rate := c.Rate
	if rate <= 0 {
		rate = 1
	}
	slots := float64(max(c.Slots, 1))
	queued := max(l.estimatedLoad(c)+1-slots, 0)
	wait := queued / slots * l.meanTokens / rate
	prefill := float64(w.PromptTokens) * (1 - c.PrefixHit) * prefillTokenCost / rate
	generate := float64(w.MaxTokens) / rate
	return wait + l.settings.PrefillWeight*prefill*(1+queued/slots) + 2*c.Link.Seconds() + l.settings.GenerationWeight*generate
}

// estimatedLoad returns the estimated number of requests at a target. It is a weighted
// mean of two estimates. The first is the reported number plus the change in this
// entry's requests in flight since the report. The second is the number of this entry's
// requests in flight. The change and the second estimate are divided by this entry's
// share of the load, which accounts for the other entries. The weight of the first
// estimate halves with each ReportHalfLife of the report's age. The result is at least
// the number of this entry's requests in flight.
func (l *LatencyChooser) estimatedLoad(c fireflysaddle.Candidate) float64 {
	inFlight := float64(c.InFlight)
	share := c.LoadShare
	if share <= 0 {
		share = 1
	}
	corrected := float64(c.Reported) + (inFlight-float64(c.InFlightAtReport))/share
	weight := math.Exp2(-c.ReportAge.Seconds() / l.settings.ReportHalfLife.Seconds())
	return max(weight*corrected+(1-weight)*inFlight/share, inFlight)
}

// prefillTokenCost is the time to prefill a prompt token relative to the time to
// generate a token.
const prefillTokenCost = 0.02
