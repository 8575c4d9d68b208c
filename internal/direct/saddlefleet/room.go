package saddlefleet

import (
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Room is the room for tokens at the engines of a pool in all data centres.
type Room struct {
	Capacity float64 // that requests may reserve
	Free     float64 // of Capacity
	Reserved float64 // by this entry's requests
	Entries  int     // that share the room, including this one
}

// Room returns the room of a pool. A data centre has as much room as the layer for which it has
// the least.
func (f *Fleet) Room(now time.Time, pool *saddlerouting.Pool) Room {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Room{Entries: f.entryCount}
	for centre, engines := range f.holdersByCentre[pool.Group] {
		byLayer := make([]float64, pool.Model.Layers)
		for _, t := range usableEngines(now, pool.Model, engines, nil) {
			capacity := t.capacity(pool.Model)
			t.eachLayer(pool.Model.Layers, func(l int) { byLayer[l] += capacity })
		}
		section := fireflysaddle.Section{Group: pool.Group, Centre: centre}
		out.Reserved += f.ownTokens[section]
		if len(byLayer) == 0 {
			continue
		}
		capacity := slices.Min(byLayer) * usableCapacityFraction
		occupied := max(f.ownTokens[section]+f.peerTokens[section], f.reportedTokens[section])
		out.Capacity += capacity
		out.Free += max(0, capacity-occupied)
	}
	return out
}
