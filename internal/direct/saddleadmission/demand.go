package saddleadmission

import (
	"math"
	"time"
)

// demandHalfLife is the half-life of the demand that is remembered. Bursts last some seconds.
const demandHalfLife = time.Second

// demand is the rate at which tokens arrive, by rank.
type demand struct {
	byRank []decaying // by Rank
}

func (d *demand) add(now time.Time, rank Rank, tokens Tokens) {
	for len(d.byRank) <= int(rank) {
		d.byRank = append(d.byRank, decaying{halfLife: demandHalfLife})
	}
	d.byRank[rank].add(now, float64(tokens))
}

// above returns the tokens per second of the requests that are more urgent than a rank.
func (d *demand) above(now time.Time, rank Rank) float64 {
	sum := 0.0
	for i := range min(int(rank), len(d.byRank)) {
		sum += d.byRank[i].at(now)
	}
	return sum * math.Ln2 / demandHalfLife.Seconds()
}

// decaying is a sum whose past decays.
type decaying struct {
	value    float64
	updated  time.Time
	halfLife time.Duration
}

func (d *decaying) add(now time.Time, v float64) {
	d.value = d.at(now) + v
	d.updated = now
}

func (d *decaying) at(now time.Time) float64 {
	return d.value * math.Exp2(-max(0, now.Sub(d.updated).Seconds())/d.halfLife.Seconds())
}
