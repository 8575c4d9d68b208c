package saddlefleet

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// maxReadLoad bounds the load with prompts in the cost of an engine. The wait grows without
// bound towards full load, but the load is an estimate.
const maxReadLoad = 0.95

// recordPrompt records that the engines of a chain are to read the prompt of a request, of
// which the total of prompt and output tokens is estimated.
func recordPrompt(now time.Time, model *saddlerouting.Model, parts []part, tokens int) {
	prompt := float64(tokens) * float64(model.MeanPromptTokens) / float64(max(1, model.MeanPromptTokens+model.MeanAnswerTokens))
	for _, p := range parts {
		p.target.prompts.addSome(now, prompt)
	}
}

// readPenalty returns the factor by which the prompts that an engine reads prolong its steps: a
// pass that waits for others takes as long as they do. The other entries are assumed to send
// prompts in proportion to the tokens that they reserve.
func (f *Fleet) readPenalty(now time.Time, model *saddlerouting.Model, t *target) float64 {
	limit := model.PrefillLimit(model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())], layerCount(t))
	if limit <= 0 {
		return 1
	}
	own := f.ownTokens[t.section] + priorTokens
	perSecond := t.prompts.perSecond(now) * (own + f.peerTokens[t.section]) / own
	return 1 / (1 - min(maxReadLoad, perSecond*t.stepTimeFactor/limit))
}

// layerCount returns the number of layers that a target holds.
func layerCount(t *target) int {
	n := 0
	for _, l := range t.reg.GetLayers() {
		n += int(l.GetTo()) - int(l.GetFrom())
	}
	return n
}
