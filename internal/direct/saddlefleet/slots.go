package saddlefleet

import "github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"

// slotCost returns the cost of a head whose slots are taken before its memory is. Requests
// beyond the slots wait at the engine. The other entries are assumed to distribute their
// requests over the heads of a data centre as this entry does.
func (f *Fleet) slotCost(model *saddlerouting.Model, t *target) float64 {
	slots := float64(t.reg.GetSlots())
	tokensPerRequest := float64(model.MeanPromptTokens + model.MeanAnswerTokens)
	if slots == 0 || !t.beginsChains() || t.capacity(model) <= slots*tokensPerRequest {
		return 0
	}
	own := f.ownTokens[t.section] + priorTokens
	share := (float64(t.headRequests)*tokensPerRequest + priorTokens/float64(max(1, f.headCount(t)))) / own
	return hopCostNS * loadPenalty(share*(own+f.peerTokens[t.section])/tokensPerRequest/slots)
}

// headCount returns the number of engines in the section of a target that begin chains.
func (f *Fleet) headCount(t *target) int {
	n := 0
	for _, other := range f.holdersByCentre[t.section.Group][t.section.Centre] {
		if other.beginsChains() {
			n++
		}
	}
	return n
}
