package saddlefleet

import (
	"errors"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// MarkDown notes that a target does not seem to work, and why: it is passed over until
// it is found to work. An engine is asked for its state at once.
func (f *Fleet) MarkDown(now time.Time, address, reason string) {
	f.mu.Lock()
	t, ok := f.address[address]
	began := ok && !t.passedOver
	if began || (ok && !t.engine()) {
		t.fail(now)
	}
	if began && t.engine() {
		t.lookAt = now
	}
	f.mu.Unlock()
	if !began {
		return
	}
	countPassedOver.Add(1)
	f.log.Warn().Str("target", string(t.ID)).Str("address", address).Str("reason", reason).
		Uint64("target_incarnation", t.incarnation).Msg("target passed over")
	f.doubted()
}

// RecordRefusal notes that an engine refused its part of a request: it is full, leaves,
// or does not work, which it is asked.
func (f *Fleet) RecordRefusal(now time.Time, address string) {
	f.mu.Lock()
	t, ok := f.address[address]
	asks := ok && !t.passedOver && !t.probing && now.Sub(t.lookAt) > lookFirst
	if ok {
		t.refused = now.Add(refusedFor)
		t.doubted = t.doubted || asks
	}
	f.mu.Unlock()
	if asks {
		f.doubted()
	}
}

// RequestProbe has an engine asked for its state at once, unless it was a short while ago.
func (f *Fleet) RequestProbe(now time.Time, address string) {
	f.mu.Lock()
	t, ok := f.address[address]
	asks := ok && t.engine() && !t.passedOver && !t.probing && !now.Before(t.lookAt)
	if asks {
		t.doubted = true
	}
	f.mu.Unlock()
	if asks {
		f.doubted()
	}
}

// FirstExcluded returns the first of some engines that seems to have failed, empty when
// none does.
func (f *Fleet) FirstExcluded(addresses []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if t, ok := f.address[a]; ok && t.passedOver {
			return a
		}
	}
	return ""
}

// doubted has the engines that are due asked at once.
func (f *Fleet) doubted() {
	select {
	case f.doubts <- struct{}{}:
	default:
	}
}

// ProbeRequests yields when an engine is to be asked for its state at once.
func (f *Fleet) ProbeRequests() <-chan struct{} { return f.doubts }

// RecordFault notes a failure of a target that goes on answering. A plain service is
// passed over for a while after two in a row.
func (f *Fleet) RecordFault(now time.Time, address, reason string) {
	f.mu.Lock()
	t, ok := f.address[address]
	down := false
	if ok {
		t.fault(now)
		down = !t.engine() && t.recentFaults(now) >= faultsDown
	}
	f.mu.Unlock()
	if down {
		f.MarkDown(now, address, reason)
	}
}

// faultsDown is the number of recent failures for which a plain service is passed
// over.
const faultsDown = 1.5

// MarkWorking notes that targets do what they are asked.
func (f *Fleet) MarkWorking(now time.Time, addresses ...string) {
	for _, a := range addresses {
		f.mu.Lock()
		t, ok := f.address[a]
		again := ok && t.passedOver && !t.engine()
		if again {
			t.good()
		}
		if ok && !t.engine() {
			t.faults = 0
		}
		f.mu.Unlock()
		if again {
			f.log.Info().Str("target", string(t.ID)).Str("address", a).Time("at", now).Msg("target works again")
		}
	}
}

// Suspects returns the targets that do not tell their state.
func (f *Fleet) Suspects() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, t := range f.targets {
		if t.confirmed {
			out = append(out, string(id))
		}
	}
	slices.Sort(out)
	return out
}

// StartDueProbes returns the engines that are to be asked for their state now: those passed
// over whose time has come, and those that another entry has begun to pass over.
// Each must be followed by Probed.
func (f *Fleet) StartDueProbes(now time.Time) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Target
	for _, t := range f.address {
		wanted := t.passedOver || t.hinted || t.doubted
		if !t.engine() || t.probing || !wanted || now.Before(t.lookAt) {
			continue
		}
		t.probing = true
		out = append(out, t.Target)
	}
	return out
}

// RecordProbe takes in what an engine said of its state. One that does not hold what
// it was registered with has started anew.
func (f *Fleet) RecordProbe(now time.Time, probed Target, report fireflysaddle.EngineReport, err error) {
	f.mu.Lock()
	t, ok := f.targets[probed.ID]
	if !ok {
		f.mu.Unlock()
		return
	}
	if err == nil && !t.holds(report) {
		err = errEmpty
	}
	was, confirmed := t.passedOver, t.confirmed
	t.probing = false
	t.doubted = false
	if err != nil {
		t.fail(now)
		t.confirmed = true
	} else {
		t.good()
		t.lookAt = now.Add(lookFirst)
	}
	f.mu.Unlock()
	switch {
	case err != nil && !confirmed:
		countPassedOver.Add(1)
		f.log.Warn().Err(err).Str("target", string(t.ID)).Str("address", t.Address).
			Uint64("target_incarnation", t.incarnation).Bool("passed_over_before", was).Msg("target does not tell its state")
		f.onDown(t.Address)
	case err == nil && was:
		f.log.Info().Str("target", string(t.ID)).Str("address", t.Address).Msg("target works")
	}
}

var errEmpty = errors.New("it does not hold the layers that it was registered with")

// holds reports whether a report shows the layers of the registration.
func (t *target) holds(report fireflysaddle.EngineReport) bool {
	for _, l := range t.reg.GetLayers() {
		same := func(h fireflysaddle.Holding) bool { return h.From <= int(l.GetFrom()) && h.To >= int(l.GetTo()) }
		if !slices.ContainsFunc(report.Holdings, same) {
			return false
		}
	}
	return true
}
