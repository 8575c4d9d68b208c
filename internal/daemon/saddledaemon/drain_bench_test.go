package saddledaemon_test

import (
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
)

const (
	drainLook  = 5 * time.Millisecond // between looks at what began
	drainWatch = 5 * time.Second      // after the drain was accepted
)

// BenchmarkDrain measures the time from the answer to a drain until the last
// new work began at the target, under load, with separate processes:
//
//	go test -run '^$' -bench Drain -benchtime 1x ./internal/daemon/saddledaemon
//
// The target is 3 s.
func BenchmarkDrain(b *testing.B) {
	cases := []struct {
		name  string
		drain func(b *testing.B, f *fixture, a *saddleprocess.Agent)
	}{
		{"by_the_operator", func(b *testing.B, f *fixture, _ *saddleprocess.Agent) { f.RunSaddlectl(b, "drain", "drafting-1") }},
		{"by_the_target", func(b *testing.B, f *fixture, a *saddleprocess.Agent) { leave(b, f, a) }},
		{"by_the_target_without_control", func(b *testing.B, f *fixture, a *saddleprocess.Agent) {
			for _, c := range f.Controls {
				c.Kill()
			}
			leave(b, f, a)
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b, "0s")
				_, agent := f.target(b, "drafting-1", 0, layers)
				f.target(b, "drafting-2", 0, layers)
				f.awaitTargets(b, 2)
				l := startLoad([]string{f.entry.Listen}, sendDraft)
				time.Sleep(benchBefore)
				c.drain(b, f, agent)
				accepted := time.Now()
				last := f.lastStart("drafting-1", accepted.Add(drainWatch))
				l.stop()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(max(last.Sub(accepted), 0).Milliseconds()), "last_new_ms")
			}
		})
	}
}

// lastStart looks until a time when work last began at an engine.
func (f *fixture) lastStart(engine string, until time.Time) time.Time {
	count := f.startsAt(engine)
	var last time.Time
	for time.Now().Before(until) {
		if n := f.startsAt(engine); n != count {
			count = n
			last = time.Now()
		}
		time.Sleep(drainLook)
	}
	return last
}
