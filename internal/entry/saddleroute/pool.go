package saddleroute

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// pool presents the members of a targetSet to a chooser. It implements
// fireflysaddle.Pool.
type pool struct {
	now           time.Time
	requirements  *Requirements
	targetSet     *targetSet
	hints         *hints
	loadShare     float64 // fraction of the load of all targets that this entry causes
	holderIndices []int   // result of PrefixHolders, reused by the next call
}

// unknownReportAge is the age assumed for a load that was taken from a view,
// which does not tell when the target reported it.
const unknownReportAge = 5 * time.Second

// Len returns the number of members.
func (p *pool) Len() int { return len(p.targetSet.members) }

// Draw returns the index of a member with a probability proportional to its
// speed; u is uniformly distributed in [0, 1).
func (p *pool) Draw(u float64) int { return p.targetSet.draw(u) }

// PrefixHolders finds the longest prefix of the prompt for which some member has a
// valid hint, and returns the indices of all members with a valid hint for that
// prefix.
func (p *pool) PrefixHolders() []int {
	p.holderIndices = p.holderIndices[:0]
	for n := len(p.requirements.Prefixes) - 1; n >= 0 && len(p.holderIndices) == 0; n-- {
		holders := p.hints.lookup(p.requirements.Prefixes[n].Hash)
		if holders == nil {
			continue
		}
		for _, holder := range holders {
			if i, ok := p.targetSet.byTarget[holder.target]; ok && holder.cacheEpoch == p.targetSet.members[i].targetState.cacheEpoch {
				p.holderIndices = append(p.holderIndices, i)
			}
		}
	}
	return p.holderIndices
}

// Candidate describes a member. It returns false when the request avoids the
// target or the target's circuit does not allow a request.
func (p *pool) Candidate(i int) (fireflysaddle.Candidate, bool) {
	m := p.targetSet.members[i]
	state := m.targetState
	if p.requirements.Avoid[m.stage.Target] || !state.circuitGroup.Allows(p.now, &state.circuit) {
		return fireflysaddle.Candidate{}, false
	}
	age := unknownReportAge
	if !state.reportedAt.IsZero() {
		age = p.now.Sub(state.reportedAt)
	}
	rate := m.rate
	if state.rate > 0 {
		rate = state.rate
	}
	return fireflysaddle.Candidate{
		Target:           m.stage.Target,
		InFlight:         state.inFlight,
		Reported:         int(state.load.GetRunning() + state.load.GetQueued()),
		InFlightAtReport: state.inFlightAtReport,
		ReportAge:        age,
		LoadShare:        p.loadShare,
		Slots:            m.slots,
		Rate:             rate,
		Link:             m.linkLatency,
		PrefixHit:        p.prefixHit(m),
	}, true
}

// prefixHit returns the fraction of the prompt that the target may have cached.
func (p *pool) prefixHit(m *member) float64 {
	want := prefixHolder{target: m.stage.Target, cacheEpoch: m.targetState.cacheEpoch}
	for n := len(p.requirements.Prefixes) - 1; n >= 0; n-- {
		prefix := p.requirements.Prefixes[n]
		holders := p.hints.lookup(prefix.Hash)
		if holders == nil {
			continue
		}
		for _, holder := range holders {
			if holder == want {
				return min(float64(prefix.Tokens)/float64(max(p.requirements.Work.PromptTokens, 1)), 1)
			}
		}
	}
	return 0
}
