package saddleplacer

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// engineSet is the set of the engines of one pool.
type engineSet struct {
	incarnations map[fireflysaddle.TargetID]uint64
	changedAt    time.Time
}

// update returns the set with the engines that are registered now.
func (s engineSet) update(now time.Time, regs map[fireflysaddle.TargetID]*saddlewire.Registration) engineSet {
	unchanged := len(regs) == len(s.incarnations)
	next := engineSet{incarnations: make(map[fireflysaddle.TargetID]uint64, len(regs)), changedAt: s.changedAt}
	for id, reg := range regs {
		next.incarnations[id] = reg.GetIncarnation()
		unchanged = unchanged && s.incarnations[id] == reg.GetIncarnation()
	}
	if !unchanged {
		next.changedAt = now
	}
	return next
}
