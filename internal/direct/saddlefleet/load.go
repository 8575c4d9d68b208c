package saddlefleet

import (
	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// fullLoad is the load from which an engine counts as full. Its cost is then a
	// hundred times that of an empty engine.
	fullLoad = 0.9
	// priorTokens is a number of tokens that is added to this entry's own tokens in a data
	// centre, spread over the engines by capacity. The resulting distribution is the
	// estimate of how the other entries distribute their tokens over the engines. The
	// number equals the tokens of two requests, so that a single request of this entry has
	// little influence on the estimate.
	priorTokens = 2000
	// unreportedRequests is the number of average requests that each other entry is
	// assumed to have started at an engine since its last report. Because of this
	// assumption, entries avoid engines with capacity for only a few requests while there
	// are other entries.
	unreportedRequests = 0.5
	// minPeerShare is the lower bound on the load that each other entry is assumed to
	// have, as a fraction of this entry's load. It is below 1 because callers are spread
	// unevenly over the entries, and some entries have twice the mean load.
	minPeerShare = 0.5
	// usableCapacityFraction is the fraction of an engine's capacity that requests may reserve.
	// It is below 1 because answers turn out longer than estimated, and because the loads
	// that the other entries report are half a second old.
	usableCapacityFraction = 0.95
)

// loadPenalty returns the cost of an engine relative to an empty one. It grows
// faster than linearly, because requests that find no memory wait or are refused. Beyond
// fullLoad, where the load is only an estimate, it continues to grow.
func loadPenalty(load float64) float64 {
	free := 1 - min(load, fullLoad)
	over := max(1, load/fullLoad)
	return over * over * over * over / (free * free)
}

// expectedLayers returns for each engine the number of layers that the engine is expected
// to run in a chain through its data centre. A layer that several engines hold is divided among
// them in proportion to their capacity.
func expectedLayers(model *saddlerouting.Model, engines []*target) []float64 {
	capacities := make([]float64, len(engines))
	capacityByLayer := map[fireflysaddle.DataCentre][]float64{}
	for i, t := range engines {
		if capacityByLayer[t.Centre] == nil {
			capacityByLayer[t.Centre] = make([]float64, model.Layers)
		}
		capacities[i] = max(1, t.capacity(model))
		t.eachLayer(model.Layers, func(l int) { capacityByLayer[t.Centre][l] += capacities[i] })
	}
	out := make([]float64, len(engines))
	for i, t := range engines {
		t.eachLayer(model.Layers, func(l int) { out[i] += capacities[i] / capacityByLayer[t.Centre][l] })
	}
	return out
}

// capacity returns the number of tokens that fit at each layer that a target holds.
func (t *target) capacity(model *saddlerouting.Model) float64 {
	layers := 0
	t.eachLayer(model.Layers, func(int) { layers++ })
	acc := model.Accelerators[fireflysaddle.Accelerator(t.reg.GetAccelerator())]
	return float64(model.TokenCapacity(acc, layers))
}

// holdsLayersOf reports whether a target holds layers, and none that the model does not have.
func (t *target) holdsLayersOf(model *saddlerouting.Model) bool {
	for _, held := range t.reg.GetLayers() {
		if !model.HasLayers(int(held.GetFrom()), int(held.GetTo())) {
			return false
		}
	}
	return len(t.reg.GetLayers()) > 0
}

// eachLayer calls do for each layer in [0, layers) that a target holds.
func (t *target) eachLayer(layers int, do func(l int)) {
	for _, held := range t.reg.GetLayers() {
		for l := int(held.GetFrom()); l < min(layers, int(held.GetTo())); l++ {
			do(l)
		}
	}
}

// load returns the estimated load of an engine, and the number of layers that the engine
// has capacity to run for a request of a number of tokens. The occupancy of the engine is
// taken as the larger of two figures: the reservations of all entries, and the tokens that
// the engines report, which include requests of entries that have stopped. The other
// entries are assumed to distribute their requests over the engines as this entry does.
// For this estimate, layersPerToken is the mean number of layers that the engine runs for
// each token reserved at its group in its data centre.
// weight is the engine's value from expectedLayers.
func (f *Fleet) load(model *saddlerouting.Model, t *target, weight float64, tokens int) (load float64, maxLayers int) {
	held := 0
	t.eachLayer(model.Layers, func(int) { held++ })
	unreported := unreportedRequests * float64(f.peerEntryCounts[t.Centre]*(model.MeanPromptTokens+model.MeanAnswerTokens))
	usableTokenLayers := max(0, t.capacity(model)*usableCapacityFraction-unreported) * float64(held)
	layersPerToken := (t.reservedTokenLayers + priorTokens*weight) / (f.ownTokens[t.section] + priorTokens)
	occupiedTokenLayers := max(t.reservedTokenLayers+f.peerTokens[t.section]*layersPerToken, f.reportedTokens[t.section]*layersPerToken)
	if usableTokenLayers <= occupiedTokenLayers {
		return 1, 0
	}
	estimatedTokenLayers := max(occupiedTokenLayers, t.reservedTokenLayers+f.minPeerTokens(t.section)*layersPerToken)
	return estimatedTokenLayers / usableTokenLayers, min(held, int((usableTokenLayers-occupiedTokenLayers)/float64(max(1, tokens))))
}

// minPeerTokens returns a lower bound on the estimate of the tokens that the other
// entries of a data centre have reserved in a section there: minPeerShare of this entry's
// tokens at the group for each of them. Reports lag behind after a start and while load
// rises. The bound influences which engine is preferred, but never the capacity, so no
// request is refused because of it.
func (f *Fleet) minPeerTokens(section fireflysaddle.Section) float64 {
	own := 0.0
	for s, tokens := range f.ownTokens {
		if s.Group == section.Group {
			own += tokens
		}
	}
	return minPeerShare * own * float64(f.peerEntryCounts[section.Centre])
}
