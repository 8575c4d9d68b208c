package saddlechoice

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// Predict takes those targets that may hold the prompt's prefix and draws others
// up to two candidates, at least one, each with a chance that grows with its
// speed. Of these it picks the one that is predicted to serve the request first.
type Predict struct {
	rand     *rand.Rand
	settings Settings
	mean     float64 // moving average of the work of a request, generated tokens
}

// NewLatencyChooser returns a chooser that draws from the given source.
func NewLatencyChooser(r *rand.Rand) *Predict {
	return NewLatencyChooserWith(r, DefaultSettings())
}

// NewLatencyChooserWith returns a chooser with other settings than the default.
func NewLatencyChooserWith(r *rand.Rand, s Settings) *Predict {
	return &Predict{rand: r, settings: s}
}

const (
	meanSmoothing = 0.02 // weight of the latest request in the average
	drawTries     = 4    // draws for a candidate that can take the request
)

// Choose returns the index of a target; ok is false when there is none.
func (p *Predict) Choose(_ time.Time, w fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	if pool.Len() == 0 {
		return 0, false
	}
	p.note(w)
	best := bestOf{index: -1, score: math.Inf(1)}
	hinted := p.hinted(w, pool, &best)
	for range max(p.settings.Candidates-hinted, 1) {
		p.draw(w, pool, &best)
	}
	if best.index < 0 {
		return p.scan(w, pool)
	}
	return best.index, true
}

// bestOf keeps the candidate with the lowest score.
type bestOf struct {
	index int
	score float64
}

func (b *bestOf) offer(index int, score float64) {
	if score < b.score {
		*b = bestOf{index: index, score: score}
	}
}

// hinted offers the targets that may hold the prompt's prefix and returns their
// number.
func (p *Predict) hinted(w fireflysaddle.Work, pool fireflysaddle.Pool, best *bestOf) int {
	if !p.settings.PrefixHints {
		return 0
	}
	n := 0
	for _, i := range pool.PrefixHolders() {
		if c, ok := pool.Candidate(i); ok {
			best.offer(i, p.score(w, c))
			n++
		}
	}
	return n
}

func (p *Predict) draw(w fireflysaddle.Work, pool fireflysaddle.Pool, best *bestOf) {
	for range drawTries {
		i := pool.Draw(p.rand.Float64())
		if i == best.index {
			continue
		}
		if c, ok := pool.Candidate(i); ok {
			best.offer(i, p.score(w, c))
			return
		}
	}
}

// scan looks at every target; it serves pools of which few targets can take
// the request.
func (p *Predict) scan(w fireflysaddle.Work, pool fireflysaddle.Pool) (int, bool) {
	best := bestOf{index: -1, score: math.Inf(1)}
	for i := range pool.Len() {
		if c, ok := pool.Candidate(i); ok {
			best.offer(i, p.score(w, c))
		}
	}
	return best.index, best.index >= 0
}

func (p *Predict) note(w fireflysaddle.Work) {
	work := float64(max(w.MaxTokens, 1))
	if p.mean == 0 {
		p.mean = work
	}
	p.mean += meanSmoothing * (work - p.mean)
}

// score predicts the seconds until the first token, plus a share of those from
// there to the last one. Reading a prompt that is not cached also holds up those
// that queue at the target.
func (p *Predict) score(w fireflysaddle.Work, c fireflysaddle.Candidate) float64 {
	rate := c.Rate
	if rate <= 0 {
		rate = 1
	}
	slots := float64(max(c.Slots, 1))
	ahead := max(p.load(c)+1-slots, 0)
	wait := ahead / slots * p.mean / rate
	prefill := float64(w.PromptTokens) * (1 - c.PrefixHit) * prefillShare / rate
	generate := float64(w.MaxTokens) / rate
	return wait + p.settings.PrefillWeight*prefill*(1+ahead/slots) + 2*c.Link.Seconds() + p.settings.GenerationWeight*generate
}

// load estimates the requests at a target. What it reported is corrected by
// what this entry has sent since, taken as its share of what all entries have
// sent. As the report ages, the estimate turns to this entry's requests alone.
func (p *Predict) load(c fireflysaddle.Candidate) float64 {
	own := float64(c.InFlight)
	share := c.LoadShare
	if share <= 0 {
		share = 1
	}
	corrected := float64(c.Reported) + (own-float64(c.InFlightAtReport))/share
	fresh := math.Exp2(-c.ReportAge.Seconds() / p.settings.HalfLife.Seconds())
	return max(fresh*corrected+(1-fresh)*own/share, own)
}

// prefillShare is the cost of a prompt token as a share of a generated one's.
const prefillShare = 0.02
