package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	hintGenerationAge     = 30 * time.Second // a hint is dropped after two generations
	maxGenerationPrefixes = 1 << 16          // prefixes in one generation
	targetsPerPrefix      = 4                // targets recorded for one prefix
)

// prefixTarget is a target to which a prompt with a given prefix was sent.
type prefixTarget struct {
	target     fireflysaddle.TargetID
	cacheEpoch uint64 // epoch of the target's cache when the prompt was sent
}

// prefixTargets holds the latest targets of one prefix, most recent first.
type prefixTargets [targetsPerPrefix]prefixTarget

// hints records which prefixes were sent to which targets. It holds two
// generations and drops the previous one when the current one is full or has
// expired, so prefixes that are not sent again are evicted.
type hints struct {
	current      map[uint64]*prefixTargets
	previous     map[uint64]*prefixTargets
	currentSince time.Time
}

func newHints() *hints {
	return &hints{current: map[uint64]*prefixTargets{}, previous: map[uint64]*prefixTargets{}}
}

// record adds the target to the prefixes of a prompt that was sent to it.
func (h *hints) record(prefixes []Prefix, record prefixTarget) {
	for _, p := range prefixes {
		list, ok := h.current[p.Hash]
		if !ok {
			list = &prefixTargets{}
			if older, found := h.previous[p.Hash]; found {
				*list = *older
			}
			h.current[p.Hash] = list
		}
		list.moveToFront(record)
	}
}

// moveToFront makes a target the most recent one; a new target replaces the
// least recent one.
func (l *prefixTargets) moveToFront(latest prefixTarget) {
	pos := len(l) - 1
	for i, t := range l {
		if t.target == latest.target {
			pos = i
			break
		}
	}
	copy(l[1:pos+1], l[:pos])
	l[0] = latest
}

// remove deletes a target and moves the less recent ones up.
func (l *prefixTargets) remove(target fireflysaddle.TargetID) {
	for i := range l {
		if l[i].target == target {
			copy(l[i:], l[i+1:])
			l[len(l)-1] = prefixTarget{}
			return
		}
	}
}

// lookup returns the targets of a prefix, or nil.
func (h *hints) lookup(prefix uint64) *prefixTargets {
	if list, ok := h.current[prefix]; ok {
		return list
	}
	return h.previous[prefix]
}

// rotate starts a new generation when the current one is full or has expired.
func (h *hints) rotate(now time.Time) {
	if now.Sub(h.currentSince) < hintGenerationAge && len(h.current) < maxGenerationPrefixes {
		return
	}
	h.previous = h.current
	if now.Sub(h.currentSince) >= 2*hintGenerationAge {
		h.previous = map[uint64]*prefixTargets{}
	}
	h.current = map[uint64]*prefixTargets{}
	h.currentSince = now
}
