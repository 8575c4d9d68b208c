package saddlefleet

import (
	"math"
	"time"
)

const (
	// countHalfLife is the half-life of a decaying count.
	countHalfLife = 2 * time.Second
	// negligibleCount is the value below which a decaying count is taken as 0.
	negligibleCount = 0.1
)

// decayingCount counts recent events. Its value decays with countHalfLife.
type decayingCount struct {
	value   float64
	updated time.Time
}

func (c *decayingCount) add(now time.Time) { c.addSome(now, 1) }

// addSome adds n events.
func (c *decayingCount) addSome(now time.Time, n float64) {
	c.value = c.at(now) + n
	c.updated = now
}

// perSecond returns the recent rate of the events.
func (c *decayingCount) perSecond(now time.Time) float64 {
	return c.at(now) * math.Ln2 / countHalfLife.Seconds()
}

func (c *decayingCount) reset() { c.value = 0 }

// at returns the value after its decay until now.
func (c *decayingCount) at(now time.Time) float64 {
	v := c.value * math.Exp2(-max(0, now.Sub(c.updated).Seconds())/countHalfLife.Seconds())
	if v < negligibleCount {
		return 0
	}
	return v
}
