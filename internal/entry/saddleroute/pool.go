package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// pool offers the members of a set to a chooser. It implements
// fireflysaddle.Pool.
type pool struct {
	now    time.Time
	need   *Requirements
	set    *set
	hints  *hints
	share  float64 // of this entry in the load of all targets
	hinted []int
}

// reportHorizon is the age that a report counts as where its age is unknown.
const reportHorizon = 5 * time.Second

// Len returns the number of targets.
func (p *pool) Len() int { return len(p.set.members) }

// Draw returns the index of a target with a chance proportional to its speed.
func (p *pool) Draw(u float64) int { return p.set.draw(u) }

// PrefixHolders returns the targets that were sent the longest known prefix.
func (p *pool) PrefixHolders() []int {
	p.hinted = p.hinted[:0]
	for n := len(p.need.Prefixes) - 1; n >= 0 && len(p.hinted) == 0; n-- {
		list := p.hints.of(p.need.Prefixes[n].Hash)
		if list == nil {
			continue
		}
		for _, h := range list {
			if i, ok := p.set.byTarget[h.target]; ok && h.epoch == p.set.members[i].local.epoch {
				p.hinted = append(p.hinted, i)
			}
		}
	}
	return p.hinted
}

// Candidate describes a target; false: it was avoided, or its circuit is open.
func (p *pool) Candidate(i int) (fireflysaddle.Candidate, bool) {
	m := p.set.members[i]
	l := m.local
	if p.need.Avoid[m.stage.Target] || !l.group.Allows(p.now, &l.circuit) {
		return fireflysaddle.Candidate{}, false
	}
	age := reportHorizon
	if !l.reported.IsZero() {
		age = p.now.Sub(l.reported)
	}
	rate := m.rate
	if l.rate > 0 {
		rate = l.rate
	}
	return fireflysaddle.Candidate{
		Target:           m.stage.Target,
		InFlight:         l.inFlight,
		Reported:         int(l.load.GetRunning() + l.load.GetQueued()),
		InFlightAtReport: l.inFlightThen,
		ReportAge:        age,
		LoadShare:        p.share,
		Slots:            m.slots,
		Rate:             rate,
		Link:             m.link,
		PrefixHit:        p.prefixHit(m),
	}, true
}

// prefixHit returns the share of the prompt that a target may hold.
func (p *pool) prefixHit(m *member) float64 {
	want := holder{target: m.stage.Target, epoch: m.local.epoch}
	for n := len(p.need.Prefixes) - 1; n >= 0; n-- {
		prefix := p.need.Prefixes[n]
		list := p.hints.of(prefix.Hash)
		if list == nil {
			continue
		}
		for _, h := range list {
			if h == want {
				return min(float64(prefix.Tokens)/float64(max(p.need.Work.PromptTokens, 1)), 1)
			}
		}
	}
	return 0
}
