package saddlesim

import (
	"fmt"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Fleet is one simulated run.
type Fleet struct {
	cfg     Config
	clock   *Clock
	targets []*target
	byID    map[fireflysaddle.TargetID]*target
	entries []*entry
	view    *saddleview.View
	figures *Figures
}

// New returns a fleet at the start of its run.
func New(cfg Config) *Fleet {
	f := &Fleet{cfg: cfg, clock: NewClock(), byID: map[fireflysaddle.TargetID]*target{}}
	f.figures = newFigures(f.clock, cfg)
	for _, spec := range cfg.Engines {
		f.add(newTarget(f, spec, false))
	}
	for i := range cfg.Services {
		spec := saddleload.Engine{ID: fireflysaddle.TargetID(fmt.Sprintf("desk-%d", i+1)), Slots: serviceSlots, Link: serviceLink}
		f.add(newTarget(f, spec, true))
	}
	f.publish()
	for i := range cfg.Entries {
		f.entries = append(f.entries, newEntry(f, cfg.NewChooser(cfg.Seed+uint64(i))))
	}
	for _, fault := range cfg.Faults {
		f.clock.After(fault.At, func() { f.strike(fault) })
	}
	if cfg.Beat > 0 {
		f.clock.After(cfg.Beat, f.beat)
	}
	return f
}

func (f *Fleet) add(t *target) {
	f.targets = append(f.targets, t)
	f.byID[t.spec.ID] = t
}

// Open runs requests that come at their own times.
func (f *Fleet) Open(requests []saddleload.Request) *Figures {
	for i, q := range requests {
		f.clock.After(q.At, func() { f.entries[i%len(f.entries)].submit(&Job{Request: q}) })
	}
	return f.run()
}

// Closed runs callers that each send a request when the one before has ended.
func (f *Fleet) Closed(callers int, drawer *saddleload.Drawer) *Figures {
	for i := range callers {
		f.call(f.entries[i%len(f.entries)], drawer)
	}
	return f.run()
}

func (f *Fleet) call(e *entry, drawer *saddleload.Drawer) {
	j := &Job{Request: drawer.Next(f.clock.Since())}
	j.onDone = func(_ *Job, how Ending) {
		wait := pollTarget
		if how == Answered {
			wait = 0
		}
		f.clock.After(wait, func() { f.call(e, drawer) })
	}
	e.submit(j)
}

func (f *Fleet) run() *Figures {
	f.clock.Run(f.cfg.Length)
	for _, t := range f.targets {
		for _, y := range t.tries {
			if y.running && !t.plain && !t.lost {
				f.figures.produced(y, f.clock.Now())
			}
		}
	}
	return f.figures
}

// publish gives the entries a new view of the targets.
func (f *Fleet) publish() {
	v := &saddleview.View{Ready: true, Members: map[string]*saddlewire.Member{}, Groups: map[string][]*saddlewire.Member{}}
	for _, t := range f.targets {
		if !t.listed {
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

// deliver passes on a load report after the lag of reports.
func (f *Fleet) deliver(report func()) {
	if f.cfg.ReportLag == 0 {
		report()
		return
	}
	f.clock.After(f.cfg.ReportLag, report)
}

// beat sends a load report to each entry with requests in progress at a target.
func (f *Fleet) beat() {
	now := f.clock.Now()
	for _, t := range f.targets {
		if t.lost {
			continue
		}
		load := t.load(now)
		for _, e := range f.entries {
			if e.busy[t.spec.ID] > 0 {
				f.clock.After(t.spec.Link+f.cfg.ReportLag, func() { e.router.RecordLoad(f.clock.Now(), t.spec.ID, load) })
			}
		}
	}
	f.clock.After(f.cfg.Beat, f.beat)
}

// strike brings about a fault and its end.
func (f *Fleet) strike(fault Fault) {
	t := f.targets[fault.Engine]
	if fault.Slow > 0 {
		t.slow = fault.Slow
		if fault.Until > 0 {
			f.clock.After(fault.Until-fault.At, func() { t.slow = 1 })
		}
		return
	}
	t.lose()
	starts := t.starts
	f.clock.After(f.cfg.Lost, func() {
		if t.starts == starts {
			t.listed = false
			f.publish()
		}
	})
	if fault.Until > 0 {
		f.clock.After(fault.Until-fault.At, func() {
			t.restart()
			t.listed = true
			f.publish()
		})
	}
}
