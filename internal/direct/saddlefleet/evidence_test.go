package saddlefleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

func TestSilentStreamSendsOnlyWhatEventsDoNotShow(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		evidence saddlefleet.Evidence
		want     saddlefleet.SilenceCheck
	}{
		"events pass through all engines": {
			saddlefleet.Evidence{Silence: 170 * ms, ActiveFor: 80 * ms},
			saddlefleet.SilenceCheck{NextCheckDue: 80 * ms},
		},
		"an engine is about to count as silent": {
			saddlefleet.Evidence{Silence: 170 * ms, ActiveFor: ms},
			saddlefleet.SilenceCheck{NextCheckDue: 50 * ms},
		},
		"an engine is silent": {
			saddlefleet.Evidence{Silence: 170 * ms},
			saddlefleet.SilenceCheck{AskHead: true, ProbeSilent: true, NextCheckDue: 130 * ms},
		},
		"it was probed with the report before": {
			saddlefleet.Evidence{Silence: 300 * ms, Asked: 1, Reported: true, ReportAge: 130 * ms},
			saddlefleet.SilenceCheck{AskHead: true, NextCheckDue: 130 * ms},
		},
		"it has become silent since the checks before": {
			saddlefleet.Evidence{Silence: 300 * ms, Reported: true, ReportAge: 130 * ms},
			saddlefleet.SilenceCheck{AskHead: true, ProbeSilent: true, NextCheckDue: 130 * ms},
		},
		"it was probed long ago": {
			saddlefleet.Evidence{Silence: 690 * ms, Asked: 4, Reported: true, ReportAge: 130 * ms},
			saddlefleet.SilenceCheck{AskHead: true, ProbeSilent: true, NextCheckDue: 130 * ms},
		},
		"events pass, but this stream is silent for long": {
			saddlefleet.Evidence{Silence: 700 * ms, ActiveFor: 80 * ms},
			saddlefleet.SilenceCheck{AskHead: true, ProbeSilent: true, NextCheckDue: 130 * ms},
		},
		"events pass, this stream is silent for long, and the head reported": {
			saddlefleet.Evidence{Silence: 700 * ms, Asked: 1, ActiveFor: 80 * ms, Reported: true, ReportAge: 100 * ms},
			saddlefleet.SilenceCheck{NextCheckDue: 80 * ms},
		},
		"events pass, this stream is silent for long, and the head reported long ago": {
			saddlefleet.Evidence{Silence: 1400 * ms, Asked: 1, ActiveFor: 80 * ms, Reported: true, ReportAge: 600 * ms},
			saddlefleet.SilenceCheck{AskHead: true, NextCheckDue: 130 * ms},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.evidence.Check(), c.want)
		})
	}
}

// A report that a head sent for a silent stream tells as much as a probe of it.
func TestReportServesAsProbe(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4))
	f.fleet.RecordReport(start, "a0", fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}})
	f.fleet.RequestProbe(start.Add(100*time.Millisecond), "a0")
	is.Equal(len(f.fleet.StartDueProbes(start.Add(100*time.Millisecond))), 0)
	later := start.Add(time.Second)
	f.fleet.RecordReport(later, "a0", fireflysaddle.EngineReport{}) // it has restarted and holds no layers
	is.Equal(len(f.fleet.StartDueProbes(later)), 1)
}
