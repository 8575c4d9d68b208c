package saddlefleet

import (
	"math"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlepath"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Repair returns a chain in which other engines of the same data centre run the
// layers of a lost one, false where there are none with room or the head is lost.
// The room that the request takes moves with it.
func (f *Fleet) Repair(now time.Time, pool *saddlerouting.Pool, c Chain, lost string) (Chain, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool.Model == nil || c.taken == nil {
		return Chain{}, false
	}
	parts := c.taken.parts
	at := slices.IndexFunc(parts, func(p part) bool { return p.target.Address == lost })
	if at <= 0 {
		return Chain{}, false
	}
	choices := f.choices(now, pool, c.taken.tokens, c.Addresses())
	choices.clip(parts[at].from, parts[at].to)
	never := saddlepath.Costs{Enter: math.Inf(1), Cross: math.Inf(1)}
	found := choices.find(parts[at].to-parts[at].from, parts[at-1].target.Centre, never)
	if found == nil {
		return Chain{}, false
	}
	for i := range found {
		found[i].from += parts[at].from
		found[i].to += parts[at].from
	}
	f.reserve(c.taken, parts[at:at+1], -1)
	f.reserve(c.taken, found, 1)
	c.taken.parts = slices.Concat(parts[:at], found, parts[at+1:])
	return chainOf(c.taken), true
}

// clip leaves of each holder the layers [from, to), counted from the first of them.
func (c *choices) clip(from, to int) {
	var holders []saddlepath.Engine
	var of []*target
	for i, h := range c.holders {
		h.From = max(h.From, from) - from
		h.To = min(h.To, to) - from
		if h.From < h.To {
			holders = append(holders, h)
			of = append(of, c.of[i])
		}
	}
	c.holders, c.of = holders, of
}
