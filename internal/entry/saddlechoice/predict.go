package saddlechoice

import (
	"math/rand/v2"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// reportHalfLife is the age at which a load report counts half.
const reportHalfLife = 2 * time.Second

// Predict draws two candidates, each with a chance that grows with its speed,
// and takes the one that is predicted to finish the request first.
type Predict struct {
	rand *rand.Rand
}

// NewPredict returns a chooser that draws from the given source.
func NewPredict(r *rand.Rand) *Predict {
	return &Predict{rand: r}
}

// Choose returns the index of a candidate; ok is false when there is none.
func (p *Predict) Choose(_ time.Time, w fireflysaddle.Work, candidates []fireflysaddle.Candidate) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first := p.draw(candidates)
	second := p.draw(candidates)
	if finish(w, candidates[second]) < finish(w, candidates[first]) {
		return second, true
	}
	return first, true
}

// draw picks a candidate with a chance proportional to its speed.
func (p *Predict) draw(candidates []fireflysaddle.Candidate) int {
	total := 0.0
	for _, c := range candidates {
		total += speed(c)
	}
	at := p.rand.Float64() * total
	for i, c := range candidates {
		if at -= speed(c); at < 0 {
			return i
		}
	}
	return len(candidates) - 1
}

// speed returns the tokens a second of all slots; a target that announced no
// rate counts as one token a second a slot.
func speed(c fireflysaddle.Candidate) float64 {
	return max(c.Rate, 1) * float64(max(c.Slots, 1))
}

// finish predicts the time until the request has ended at a candidate.
func finish(w fireflysaddle.Work, c fireflysaddle.Candidate) time.Duration {
	aged := float64(c.Reported) * halfLife(c.ReportAge)
	others := max(aged, float64(c.InFlight))
	slots := float64(max(c.Slots, 1))
	waves := max(others+1-slots, 0)/slots + 1
	work := float64(w.PromptTokens)*(1-c.PrefixHit)*prefillShare + float64(w.MaxTokens)
	seconds := waves * max(work, 1) / max(c.Rate, 1)
	return time.Duration(seconds*float64(time.Second)) + 2*c.Link
}

// prefillShare is the cost of a prompt token as a share of a generated one's.
const prefillShare = 0.1

func halfLife(age time.Duration) float64 {
	share := 1.0
	for ; age >= reportHalfLife; age -= reportHalfLife {
		share /= 2
	}
	return share
}
