package saddlesim

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Fleet is a simulated fleet in a single run.
type Fleet struct {
	cfg     Config
	clock   *Clock
	targets []*target
	byID    map[fireflysaddle.TargetID]*target
	entries []*entry
	view    *saddleview.View
	metrics *Metrics
}

// New returns a fleet at the start of its run.
func New(cfg Config) *Fleet {
	f := &Fleet{cfg: cfg, clock: NewClock(), byID: map[fireflysaddle.TargetID]*target{}}
	f.metrics = newMetrics(f.clock, cfg)
	for _, spec := range cfg.Engines {
		f.addTarget(newTarget(f, spec, false))
	}
	for i := range cfg.Services {
		spec := saddleload.Engine{ID: fireflysaddle.TargetID(fmt.Sprintf("desk-%d", i+1)), Slots: serviceSlots, LinkLatency: serviceLinkLatency}
		f.addTarget(newTarget(f, spec, true))
	}
	f.publishView()
	for i := range cfg.Entries {
		f.entries = append(f.entries, newEntry(f, cfg.NewChooser(cfg.Seed+uint64(i))))
	}
	for _, fault := range cfg.Faults {
		f.clock.AfterFunc(fault.At, func() { f.injectFault(fault) })
	}
	if cfg.LoadReportInterval > 0 {
		f.clock.AfterFunc(cfg.LoadReportInterval, f.sendLoadReports)
	}
	return f
}

func (f *Fleet) addTarget(t *target) {
	f.targets = append(f.targets, t)
	f.byID[t.spec.ID] = t
}

// RunOpenLoop sends each request at its own time, whether or not earlier requests
// have ended.
func (f *Fleet) RunOpenLoop(requests []saddleload.Request) *Metrics {
	for i, req := range requests {
		f.clock.AfterFunc(req.SendAt, func() { f.entries[i%len(f.entries)].submit(&Job{Request: req}) })
	}
	return f.run()
}

// RunClosedLoop runs a fixed number of callers. Each caller sends its next request
// as soon as the previous one is answered. If the previous one was refused or
// failed, the caller first waits for the poll interval.
func (f *Fleet) RunClosedLoop(callers int, generator *saddleload.Generator) *Metrics {
	for i := range callers {
		f.submitNext(f.entries[i%len(f.entries)], generator)
	}
	return f.run()
}

// submitNext submits the next request of a caller. When the request ends, the
// caller submits another one.
func (f *Fleet) submitNext(e *entry, generator *saddleload.Generator) {
	j := &Job{Request: generator.Next(f.clock.Elapsed())}
	j.onDone = func(_ *Job, outcome Outcome) {
		delay := targetPollInterval
		if outcome == Answered {
			delay = 0
		}
		f.clock.AfterFunc(delay, func() { f.submitNext(e, generator) })
	}
	e.submit(j)
}

func (f *Fleet) run() *Metrics {
	f.clock.Run(f.cfg.Duration)
	for _, t := range f.targets {
		for _, a := range t.attempts {
			if a.running && !t.isService && !t.lost {
				f.metrics.countGeneratedTokens(a, f.clock.Now())
			}
		}
	}
	return f.metrics
}

// publishView gives the entries a view of the registered targets. Their routers
// then remove the state of all other targets without requests in flight.
func (f *Fleet) publishView() {
	v := &saddleview.View{Ready: true, Members: map[string]*saddlewire.Member{}, Groups: map[string][]*saddlewire.Member{}}
	for _, t := range f.targets {
		if !t.registered {
			continue
		}
		m := t.member()
		v.Members[m.GetNode()] = m
		v.Groups[m.GetTarget().GetGroup()] = append(v.Groups[m.GetTarget().GetGroup()], m)
	}
	f.view = v
	for _, e := range f.entries {
		e.router.Prune(v)
	}
}

// delayReport calls report after the load report delay.
func (f *Fleet) delayReport(report func()) {
	if f.cfg.LoadReportDelay == 0 {
		report()
		return
	}
	f.clock.AfterFunc(f.cfg.LoadReportDelay, report)
}

// sendLoadReports sends the load of every target to the entries that have
// requests in progress there, and schedules the next reports.
func (f *Fleet) sendLoadReports() {
	now := f.clock.Now()
	for _, t := range f.targets {
		if t.lost {
			continue
		}
		load := t.load(now)
		for _, e := range f.entries {
			if e.inFlight[t.spec.ID] > 0 {
				f.clock.AfterFunc(t.spec.LinkLatency+f.cfg.LoadReportDelay, func() { e.router.RecordLoad(f.clock.Now(), t.spec.ID, load) })
			}
		}
	}
	f.clock.AfterFunc(f.cfg.LoadReportInterval, f.sendLoadReports)
}

// injectFault starts a fault and schedules its end.
func (f *Fleet) injectFault(fault Fault) {
	t := f.targets[fault.Engine]
	if fault.Slowdown > 0 {
		t.slowdown = fault.Slowdown
		if fault.Until > 0 {
			f.clock.AfterFunc(fault.Until-fault.At, func() { t.slowdown = 1 })
		}
		return
	}
	t.fail()
	incarnation := t.incarnation
	f.clock.AfterFunc(f.cfg.TargetLostTimeout, func() {
		if t.incarnation == incarnation {
			t.registered = false
			f.publishView()
		}
	})
	if fault.Until > 0 {
		f.clock.AfterFunc(fault.Until-fault.At, func() {
			t.restart()
			t.registered = true
			f.publishView()
		})
	}
}
