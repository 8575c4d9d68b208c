package saddledaemon_test

import (
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
)

const (
	startPollInterval    = 5 * time.Millisecond // between checks for new attempts
	drainObservationTime = 5 * time.Second      // time after the acceptance of the drain during which new attempts are observed
)

// BenchmarkDrain measures the time from the answer to a drain until the last new attempt
// starts at the target, under load, with separate processes:
//
//	go test -run '^$' -bench Drain -benchtime 1x ./internal/daemon/saddledaemon
//
// The objective is 3 s.
func BenchmarkDrain(b *testing.B) {
	cases := []struct {
		name  string
		drain func(b *testing.B, f *fixture, a *saddleprocess.Agent)
	}{
		{"by_the_operator", func(b *testing.B, f *fixture, _ *saddleprocess.Agent) { f.RunSaddlectl(b, "drain", "drafting-1") }},
		{"by_the_target", func(b *testing.B, f *fixture, a *saddleprocess.Agent) { sendLeave(b, f, a) }},
		{"by_the_target_without_control", func(b *testing.B, f *fixture, a *saddleprocess.Agent) {
			for _, c := range f.Controls {
				c.Kill()
			}
			sendLeave(b, f, a)
		}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				f := newFixture(b, "0s")
				_, agent := f.startTarget(b, "drafting-1", 0, layers)
				f.startTarget(b, "drafting-2", 0, layers)
				f.awaitTargets(b, 2)
				l := startLoad([]string{f.entry.Listen}, sendDraft)
				time.Sleep(loadBeforeFault)
				c.drain(b, f, agent)
				accepted := time.Now()
				last := f.lastAttemptStart("drafting-1", accepted.Add(drainObservationTime))
				l.stop()
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(max(last.Sub(accepted), 0).Milliseconds()), "last_new_ms")
			}
		})
	}
}

// lastAttemptStart polls until the given time. It returns the time at which it saw the last
// new attempt at an engine, or the zero time if it saw none.
func (f *fixture) lastAttemptStart(engine string, until time.Time) time.Time {
	count := f.attemptStartsAt(engine)
	var last time.Time
	for time.Now().Before(until) {
		if n := f.attemptStartsAt(engine); n != count {
			count = n
			last = time.Now()
		}
		time.Sleep(startPollInterval)
	}
	return last
}
