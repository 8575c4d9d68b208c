package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	hintAge       = 30 * time.Second // half the time after which a hint is dropped
	maxHints      = 1 << 16          // prefixes in one generation
	holdersOfHint = 4                // targets remembered for one prefix
)

// holder is a target that was sent a prompt with some prefix.
type holder struct {
	target fireflysaddle.TargetID
	epoch  uint64 // of the target's cache at that time
}

// holders are the latest targets of one prefix, the latest first.
type holders [holdersOfHint]holder

// hints remembers which targets were sent which prefixes. It holds two
// generations and drops the older one when the younger is full or old, so that
// what is not sent again is forgotten.
type hints struct {
	young   map[uint64]*holders
	old     map[uint64]*holders
	started time.Time
}

func newHints() *hints {
	return &hints{young: map[uint64]*holders{}, old: map[uint64]*holders{}}
}

// sent notes that a target was sent a prompt.
func (h *hints) sent(prefixes []Prefix, sent holder) {
	for _, p := range prefixes {
		list, ok := h.young[p.Hash]
		if !ok {
			list = &holders{}
			if before, known := h.old[p.Hash]; known {
				*list = *before
			}
			h.young[p.Hash] = list
		}
		list.push(sent)
	}
}

// push puts a holder first.
func (l *holders) push(first holder) {
	at := len(l) - 1
	for i, k := range l {
		if k.target == first.target {
			at = i
			break
		}
	}
	copy(l[1:at+1], l[:at])
	l[0] = first
}

// drop removes a target.
func (l *holders) drop(target fireflysaddle.TargetID) {
	for i := range l {
		if l[i].target == target {
			copy(l[i:], l[i+1:])
			l[len(l)-1] = holder{}
			return
		}
	}
}

// of returns the holders of a prefix, nil when there are none.
func (h *hints) of(prefix uint64) *holders {
	if list, ok := h.young[prefix]; ok {
		return list
	}
	return h.old[prefix]
}

// age drops the hints that are too old or too many.
func (h *hints) age(now time.Time) {
	if now.Sub(h.started) < hintAge && len(h.young) < maxHints {
		return
	}
	h.old = h.young
	if now.Sub(h.started) >= 2*hintAge {
		h.old = map[uint64]*holders{}
	}
	h.young = map[uint64]*holders{}
	h.started = now
}
