package saddlefleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// thousandths is the number of units of a rate in heartbeats and updates per request per second.
const thousandths = 1000

// RecordLimit records whether a target stated a limit in its answer to a request that was sent
// at a time. The limit holds until an answer does not state it. Answers to requests that were
// sent before the latest statement end nothing, because later ones may overtake them.
func (f *Fleet) RecordLimit(now, sentAt time.Time, t Target, n fireflysaddle.Notice, request fireflysaddle.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, ok := f.targets[t.ID]
	if !ok || current.incarnation != t.incarnation {
		return
	}
	l := &current.limit
	before, limited := l.current(now)
	logEvent := func() *zerolog.Event {
		return f.log.Info().Str("request", string(request)).Str("target", string(t.ID)).Str("address", t.Address).
			Uint64("target_incarnation", t.incarnation).Float64("before", float64(before)).Float64("share", l.share)
	}
	if n.Limited {
		f.unusual[current] = struct{}{}
		l.rate, l.statedAt = n.Limit, now
		if !limited {
			l.begin(now, f.node, t.ID)
		}
		if !limited || before != n.Limit {
			countLimits.Add(1)
			logEvent().Float64("limit", float64(n.Limit)).Msg("target stated a limit of requests per second")
		}
		return
	}
	if limited && sentAt.After(l.statedAt) && sentAt.After(l.peersSince) {
		logEvent().Time("stated", l.statedAt).Msg("target ended its limit of requests per second")
		l.statedAt, l.endedAt = time.Time{}, now
	}
}

// updateLimits replaces the limits that control lists.
func (f *Fleet) updateLimits(now time.Time, shares []*saddlewire.LimitShare) {
	listed := make(map[fireflysaddle.TargetID]*saddlewire.LimitShare, len(shares))
	for _, s := range shares {
		listed[fireflysaddle.TargetID(s.GetTarget())] = s
	}
	for t := range f.unusual {
		if s, ok := listed[t.ID]; !ok || s.GetIncarnation() != t.incarnation {
			t.limit.peersSince, t.limit.share = time.Time{}, 0
		}
	}
	for id, s := range listed {
		t, ok := f.targets[id]
		if !ok || s.GetIncarnation() != t.incarnation {
			continue
		}
		f.unusual[t] = struct{}{}
		l := &t.limit
		_, limited := l.current(now)
		if l.peersSince.IsZero() {
			l.peersSince = now
		}
		l.peerRate, l.share = fireflysaddle.RequestRate(s.GetLimit())/thousandths, s.GetShare()
		if _, limits := l.current(now); limits && !limited {
			l.begin(now, f.node, id)
			f.log.Info().Str("target", string(id)).Str("address", t.Address).Uint64("target_incarnation", t.incarnation).
				Float64("limit", float64(l.peerRate)).Float64("share", l.share).Msg("limit of requests per second learned from other entries")
		}
	}
}

// Limits returns the targets whose limits hold, with the limits that they stated to this entry
// and its demands, sorted.
func (f *Fleet) Limits(now time.Time) []*saddlewire.TargetLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*saddlewire.TargetLimit
	for t := range f.unusual {
		l := &t.limit
		if _, limited := l.current(now); !limited {
			continue
		}
		perSecond := l.demand.perSecond(now)
		r := &saddlewire.TargetLimit{Target: string(t.ID), Incarnation: t.incarnation, Demand: uint64(math.Round(perSecond * thousandths))}
		if l.stated(now) {
			r.Limit = max(1, uint64(math.Round(float64(l.rate)*thousandths)))
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *saddlewire.TargetLimit) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// RecordDemand records that this entry has a request for a group. It counts as demand for the
// targets that state a limit, as far as the request would be sent to them without their limits:
// plain services, and engines of this entry's data centre that can begin it.
func (f *Fleet) RecordDemand(now time.Time, group fireflysaddle.Group) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t := range f.unusual {
		_, limited := t.limit.current(now)
		if limited && t.indexed && fireflysaddle.Group(t.reg.GetGroup()) == group && (!t.isEngine() || (t.Centre == f.centre && t.beginsChains())) {
			t.limit.demand.add(now)
		}
	}
}

// recordBegin records that a request is sent to a target: a plain service, or the head of a
// chain. An engine of another data centre counts it as demand, see RecordDemand.
func (f *Fleet) recordBegin(now time.Time, t *target) {
	t.limit.recordSend(now)
	if t.isEngine() && t.Centre != f.centre {
		t.limit.demand.add(now)
	}
}

// beginsChains reports whether an engine holds the first layer.
func (t *target) beginsChains() bool {
	return slices.ContainsFunc(t.reg.GetLayers(), func(l *saddlewire.HeldLayers) bool { return l.GetFrom() == 0 && l.GetTo() > 0 })
}

// LimitedRate returns the requests per second that this entry may send to the engines of a
// pool that can begin a chain, if each of them states a limit. next is the earliest time at
// which one of them accepts a request.
func (f *Fleet) LimitedRate(now time.Time, pool *saddlerouting.Pool) (rate fireflysaddle.RequestRate, next time.Time, limited bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pool.Model == nil {
		return 0, time.Time{}, false
	}
	for _, t := range usableEngines(now, pool.Model, f.holders[pool.Group], nil) {
		if !t.beginsChains() {
			continue
		}
		if _, stated := t.limit.current(now); !stated {
			return 0, time.Time{}, false
		}
		rate += fireflysaddle.RequestRate(t.limit.ownRate(now, f.entryCount))
		if n := t.limit.next(now, f.entryCount); !limited || n.Before(next) {
			next = n
		}
		limited = true
	}
	return rate, next, limited
}
