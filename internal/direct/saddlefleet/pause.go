package saddlefleet

import (
	"expvar"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

const (
	// pauseRampTime is the time after a pause in which a target gets requests one by one,
	// one in each pauseRampStep, because other entries return at the same time.
	pauseRampTime = time.Second
	pauseRampStep = 100 * time.Millisecond
)

// pause is the time for which a target has asked for no requests.
type pause struct {
	until time.Time
	sent  int // requests since then, within pauseRampTime
}

// accepts reports whether the target may get one more request.
func (p *pause) accepts(now time.Time) bool { return !now.Before(p.next()) }

// next returns the earliest time of the next request.
func (p *pause) next() time.Time { return p.until.Add(time.Duration(p.sent) * pauseRampStep) }

// recordSend records that the target gets a request.
func (p *pause) recordSend(now time.Time) {
	if now.Sub(p.until) < pauseRampTime {
		p.sent++
	} else {
		p.sent = 0
	}
}

// RecordPause records that a target asked in its answer to a request to be sent nothing
// for a time. An earlier pause that lasts longer stays in force.
func (f *Fleet) RecordPause(now time.Time, t Target, d time.Duration, request fireflysaddle.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, ok := f.targets[t.ID]; ok && current.incarnation == t.incarnation {
		f.recordPause(now, current, d, request)
	}
}

// RecordStagePause is RecordPause for an engine that another engine named as the one that
// refused a request.
func (f *Fleet) RecordStagePause(now time.Time, address string, d time.Duration, request fireflysaddle.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t, ok := f.byAddress[address]; ok {
		f.recordPause(now, t, d, request)
	}
}

func (f *Fleet) recordPause(now time.Time, t *target, d time.Duration, request fireflysaddle.RequestID) {
	until := now.Add(d)
	if !until.After(t.pause.until) {
		return
	}
	t.pause = pause{until: until}
	countPauses.Add(1)
	publishPause(now, t.ID, until)
	f.log.Info().Str("request", string(request)).Str("target", string(t.ID)).Str("address", t.Address).
		Uint64("target_incarnation", t.incarnation).Dur("pause_ms", d).Msg("target asked for a pause")
}

// NextAccepting returns the earliest time at which a target of a group accepts a request
// if all of them have asked for a pause or limit their requests. Otherwise paused is false.
func (f *Fleet) NextAccepting(now time.Time, group fireflysaddle.Group) (next time.Time, paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.groups[group] {
		if f.accepts(now, t) {
			return time.Time{}, false
		}
		n := t.limit.next(now, f.entryCount)
		if t.pause.next().After(n) {
			n = t.pause.next()
		}
		if !paused || n.Before(next) {
			next, paused = n, true
		}
	}
	return next, paused
}

// NextCovered returns the earliest time at which the engines of a pool that are usable apart
// from pauses hold all layers, if pauses are the reason why they do not now. Otherwise paused
// is false.
func (f *Fleet) NextCovered(now time.Time, pool *saddlerouting.Pool) (next time.Time, paused bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.covered(now, pool, nil) {
		return time.Time{}, false
	}
	var ends []time.Time
	for _, t := range f.groups[pool.Group] {
		if !t.pause.accepts(now) {
			ends = append(ends, t.pause.next())
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for _, end := range ends {
		if f.covered(end, pool, nil) {
			return end, true
		}
	}
	return time.Time{}, false
}

// publishPause adds a pause to the counters, and removes those that have ended.
func publishPause(now time.Time, id fireflysaddle.TargetID, until time.Time) {
	var ended []string
	pausedUntil.Do(func(kv expvar.KeyValue) {
		if ms, ok := kv.Value.(*expvar.Int); ok && ms.Value() < now.UnixMilli() {
			ended = append(ended, kv.Key)
		}
	})
	for _, key := range ended { // not within Do, which holds the lock of the map
		pausedUntil.Delete(key)
	}
	ms := new(expvar.Int)
	ms.Set(until.UnixMilli())
	pausedUntil.Set(string(id), ms)
}
