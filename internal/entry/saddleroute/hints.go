package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	hintGenerationAge     = 30 * time.Second // time after which a new generation starts; a hint is dropped when the second generation after its own starts
	maxGenerationPrefixes = 1 << 16          // prefixes after which a new generation starts
	holdersPerPrefix      = 4                // holders recorded for one prefix
)

// prefixHolder is a target to which a prompt with a given prefix was sent, so that
// it may have the prefix cached.
type prefixHolder struct {
	target     fireflysaddle.TargetID
	cacheEpoch uint64 // epoch of the target's cache when the prompt was sent
}

// prefixHolders lists the latest holders of one prefix, most recent first.
type prefixHolders [holdersPerPrefix]prefixHolder

// hints records which prefixes were sent to which targets. It holds two
// generations and drops the previous one when the current one is full or has
// expired, so prefixes that are not sent again are evicted.
type hints struct {
	current      map[uint64]*prefixHolders
	previous     map[uint64]*prefixHolders
	currentSince time.Time
}

func newHints() *hints {
	return &hints{current: map[uint64]*prefixHolders{}, previous: map[uint64]*prefixHolders{}}
}

// record adds the target to the prefixes of a prompt that was sent to it.
func (h *hints) record(prefixes []Prefix, holder prefixHolder) {
	for _, p := range prefixes {
		list, ok := h.current[p.Hash]
		if !ok {
			list = &prefixHolders{}
			if older, found := h.previous[p.Hash]; found {
				*list = *older
			}
			h.current[p.Hash] = list
		}
		list.moveToFront(holder)
	}
}

// moveToFront makes a holder the most recent one; a new holder replaces the least
// recent one.
func (l *prefixHolders) moveToFront(latest prefixHolder) {
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

// remove deletes the holder of a target and moves the less recent ones up.
func (l *prefixHolders) remove(target fireflysaddle.TargetID) {
	for i := range l {
		if l[i].target == target {
			copy(l[i:], l[i+1:])
			l[len(l)-1] = prefixHolder{}
			return
		}
	}
}

// lookup returns the holders of a prefix, or nil.
func (h *hints) lookup(prefix uint64) *prefixHolders {
	if list, ok := h.current[prefix]; ok {
		return list
	}
	return h.previous[prefix]
}

// rotate starts a new generation when the current one is full or has expired. If the
// current generation started at least two generation ages ago, rotate drops it as well.
func (h *hints) rotate(now time.Time) {
	if now.Sub(h.currentSince) < hintGenerationAge && len(h.current) < maxGenerationPrefixes {
		return
	}
	h.previous = h.current
	if now.Sub(h.currentSince) >= 2*hintGenerationAge {
		h.previous = map[uint64]*prefixHolders{}
	}
	h.current = map[uint64]*prefixHolders{}
	h.currentSince = now
}
