package saddlefleet

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

// MarkDown excludes a target from selection because the target seems to have failed. An
// engine is probed immediately and stays excluded until a probe succeeds. A plain service
// stays excluded until a request succeeds. reason is logged.
func (f *Fleet) MarkDown(now time.Time, address, reason string) {
	f.mu.Lock()
	t, ok := f.byAddress[address]
	newlyExcluded := ok && !t.excluded
	if newlyExcluded || (ok && !t.isEngine()) {
		t.exclude(now)
		f.unusual[t] = struct{}{}
	}
	if newlyExcluded && t.isEngine() {
		t.nextProbe = now
	}
	f.mu.Unlock()
	if !newlyExcluded {
		return
	}
	countExclusions.Add(1)
	f.log.Warn().Str("target", string(t.ID)).Str("address", address).Str("reason", reason).
		Uint64("target_incarnation", t.incarnation).Msg("target excluded from selection")
	f.signalProbe()
}

// RecordRefusal records that an engine refused its part of a request. The engine gets no
// requests for refusalBackoff. Because it may be full, draining or failing, a probe is
// requested as well, unless the engine is excluded or has asked for a pause, is being probed
// or was probed recently.
func (f *Fleet) RecordRefusal(now time.Time, address string) {
	f.mu.Lock()
	t, ok := f.byAddress[address]
	probe := ok && !t.excluded && !t.probing && t.pause.accepts(now) && now.Sub(t.nextProbe) > minProbeInterval
	if ok {
		t.refusedUntil = now.Add(refusalBackoff)
	}
	if probe {
		t.probeRequested = probeRefused
		f.unusual[t] = struct{}{}
	}
	f.mu.Unlock()
	if probe {
		f.signalProbe()
	}
}

// RequestProbe requests an immediate probe of an engine, unless it was probed a short time
// ago. The engine remains in use unless the probe fails.
func (f *Fleet) RequestProbe(now time.Time, address string) {
	f.mu.Lock()
	t, ok := f.byAddress[address]
	probe := ok && t.isEngine() && !t.excluded && !t.probing && !now.Before(t.nextProbe)
	if probe {
		t.probeRequested = probeSilent
		f.unusual[t] = struct{}{}
	}
	f.mu.Unlock()
	if probe {
		f.signalProbe()
	}
}

// FirstExcluded returns the first of the addresses whose target is excluded, or the
// empty string if there is none.
func (f *Fleet) FirstExcluded(addresses []string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range addresses {
		if t, ok := f.byAddress[a]; ok && t.excluded {
			return a
		}
	}
	return ""
}

// Ended reports whether the engine at an address has certainly ended, and not only failed to
// answer a probe in time.
func (f *Fleet) Ended(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.byAddress[address]
	return ok && t.ended
}

// signalProbe sends to probeRequests without blocking.
func (f *Fleet) signalProbe() {
	select {
	case f.probeRequests <- struct{}{}:
	default:
	}
}

// ProbeRequests returns a channel that receives a value when an engine is to be probed
// immediately.
func (f *Fleet) ProbeRequests() <-chan struct{} { return f.probeRequests }

// RecordFault records a fault of a target that still answers. After two faults in quick
// succession a plain service is excluded until its next probe is due. An engine cannot be
// probed for faults: if this is not its only recent fault and at least failingShare of its
// recent drafts have failed, it counts as failing for failingTime, and drafts begin at other
// engines if there are any.
func (f *Fleet) RecordFault(now time.Time, address, reason string) {
	f.mu.Lock()
	t, ok := f.byAddress[address]
	exclude, newlyFailing := false, false
	if ok {
		t.faults.add(now)
		faults := t.faults.at(now)
		exclude = !t.isEngine() && faults >= repeatedFaults
		if t.isEngine() && faults >= repeatedFaults && faults >= failingShare*(faults+t.successes.at(now)) {
			newlyFailing = !now.Before(t.failingUntil)
			t.failingUntil = now.Add(failingTime)
			f.unusual[t] = struct{}{}
		}
	}
	f.mu.Unlock()
	if exclude {
		f.MarkDown(now, address, reason)
	}
	if newlyFailing {
		countFailing.Add(1)
		f.log.Warn().Str("target", string(t.ID)).Str("address", address).Str("reason", reason).
			Uint64("target_incarnation", t.incarnation).Msg("engine fails drafts: others are preferred as heads")
	}
}

// repeatedFaults is the value of the fault count after two faults within two half-lives.
const repeatedFaults = 1.25

// MarkWorking records that targets completed a request. It readmits excluded plain
// services and clears their faults; engines are readmitted by probes only, and the completed
// requests lower their share of faults.
func (f *Fleet) MarkWorking(now time.Time, addresses ...string) {
	for _, a := range addresses {
		f.mu.Lock()
		t, ok := f.byAddress[a]
		readmitted := ok && t.excluded && !t.isEngine()
		if readmitted {
			t.readmit()
		}
		if ok && t.isEngine() {
			t.successes.add(now)
		} else if ok {
			t.faults.reset()
		}
		f.mu.Unlock()
		if readmitted {
			f.log.Info().Str("target", string(t.ID)).Str("address", a).Time("at", now).Msg("target readmitted after a successful request")
		}
	}
}

// Suspects returns the IDs of the engines whose last probe failed, sorted.
func (f *Fleet) Suspects() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for t := range f.unusual {
		if t.unresponsive {
			out = append(out, string(t.ID))
		}
	}
	slices.Sort(out)
	return out
}

// Failing returns the IDs of the engines that fail this entry's drafts, sorted. It leaves
// out those that enough other entries of its data centre list, so that the reports of an
// engine do not grow with the entries.
func (f *Fleet) Failing(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for t := range f.unusual {
		if now.Before(t.failingUntil) && t.failingForPeers < minFailingPeers {
			out = append(out, string(t.ID))
		}
	}
	slices.Sort(out)
	return out
}

// StartDueProbes returns the engines that are to be probed now. An engine needs a probe
// if it is excluded, if another entry suspects it or if a probe was requested. It is
// returned once its next probe is due, and is then marked as being probed until the result
// is recorded.
func (f *Fleet) StartDueProbes(now time.Time) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Target
	for t := range f.unusual {
		if t.inOrder(now) {
			delete(f.unusual, t)
			continue
		}
		reason := t.probeReason()
		if !t.indexed || !t.isEngine() || t.probing || reason == "" || now.Before(t.nextProbe) {
			continue
		}
		t.probing = true
		countProbes.Add(string(reason), 1)
		out = append(out, t.Target)
	}
	return out
}

// RecordReport records a report that an engine sent although it was not probed. If the engine
// holds its layers, the report counts as a successful probe of an engine in use; otherwise a
// probe is requested.
func (f *Fleet) RecordReport(now time.Time, address string, report fireflysaddle.EngineReport) {
	f.mu.Lock()
	t, ok := f.byAddress[address]
	holds := ok && t.holdsRegisteredLayers(report)
	if holds && !t.excluded && !t.probing {
		t.probeRequested = ""
		t.nextProbe = now.Add(f.reprobeInterval())
	}
	f.mu.Unlock()
	if ok && !holds {
		f.RequestProbe(now, address)
	}
}

// RecordProbe records the result of a probe. The probe counts as failed if the engine does
// not hold the layers of its registration, because such an engine has restarted, unless the
// report may be older than the registration with these layers. The result
// of a probe of an earlier incarnation is ignored. An answer that announces that the engine
// is leaving is recorded as such.
func (f *Fleet) RecordProbe(now time.Time, probed Target, report fireflysaddle.EngineReport, err error) {
	if report.Leaving {
		f.RecordLeaving(probed, "")
	}
	f.mu.Lock()
	t, ok := f.targets[probed.ID]
	if !ok || t.incarnation != probed.incarnation {
		f.mu.Unlock()
		return
	}
	if err == nil && now.Sub(t.layersChangedAt) > reportLag && !t.holdsRegisteredLayers(report) {
		err = errLayersMissing
	}
	wasExcluded, wasUnresponsive, wasEnded := t.excluded, t.unresponsive, t.ended
	t.probing = false
	t.probeRequested = ""
	if err != nil {
		t.exclude(now)
		t.unresponsive = true
		f.unusual[t] = struct{}{}
		t.ended = t.ended || errors.Is(err, errLayersMissing) || errors.Is(err, syscall.ECONNREFUSED)
	} else {
		t.readmit()
		t.ended = false
		t.nextProbe = now.Add(f.reprobeInterval())
	}
	ended := t.ended
	f.mu.Unlock()
	switch {
	case err != nil && !wasUnresponsive:
		countExclusions.Add(1)
		f.log.Warn().Err(err).Str("target", string(t.ID)).Str("address", t.Address).
			Uint64("target_incarnation", t.incarnation).Bool("passed_over_before", wasExcluded).Msg("engine failed its probe")
		f.onDown(t.Address, ended)
	case ended && !wasEnded: // the first probe that failed left open whether the engine has ended
		f.onDown(t.Address, true)
	case err == nil && wasExcluded:
		f.log.Info().Str("target", string(t.ID)).Str("address", t.Address).Msg("engine readmitted after a successful probe")
	}
}

// RecordProgress records that events passed through an engine while its probe remained
// unanswered: it is slow to answer, but it works.
func (f *Fleet) RecordProgress(now time.Time, probed Target) {
	f.mu.Lock()
	t, ok := f.targets[probed.ID]
	if !ok || t.incarnation != probed.incarnation {
		f.mu.Unlock()
		return
	}
	wasExcluded := t.excluded
	t.probing, t.probeRequested, t.ended = false, "", false
	t.readmit()
	t.nextProbe = now.Add(f.reprobeInterval())
	f.mu.Unlock()
	if wasExcluded {
		f.log.Info().Str("target", string(t.ID)).Str("address", t.Address).Msg("engine readmitted: events pass through it")
	}
}

// reprobeInterval returns the time before an engine that answered is probed again. The
// entries of a data centre use the same engines and tell one another which do not answer,
// so each of them probes less often the more they are.
func (f *Fleet) reprobeInterval() time.Duration {
	sharing := time.Duration(f.peerEntryCounts[f.centre]+1) * minProbeInterval / probingEntries
	return min(maxReprobeInterval, max(minProbeInterval, sharing))
}

var errLayersMissing = errors.New("engine does not hold the layers of its registration")

// holdsRegisteredLayers reports whether a report includes all layers that the target
// registered.
func (t *target) holdsRegisteredLayers(report fireflysaddle.EngineReport) bool {
	for _, l := range t.reg.GetLayers() {
		if !report.Holds(int(l.GetFrom()), int(l.GetTo())) {
			return false
		}
	}
	return true
}
