package saddlefleet

import "time"

const (
	// silentRecheck is the time between checks of a silent stream. Reports are up to 200 ms old.
	silentRecheck = 130 * time.Millisecond
	// minSilentRecheck bounds the work of checks where the evidence is about to expire.
	minSilentRecheck = 50 * time.Millisecond
	// maxUnreported is the longest silence of a stream, and the greatest age of its head's last
	// report, without a report while events pass through all engines of the chain: a broken
	// link between two of them is seen in that report only.
	maxUnreported = 600 * time.Millisecond
	// reportsPerProbe is the number of reports of the head for one probe of the silent engines.
	// The reports name a stalled engine in the meantime.
	reportsPerProbe = 4
)

// Evidence is what an entry knows about the chain of a silent stream before it sends anything.
type Evidence struct {
	Silence   time.Duration // of the stream
	Asked     int           // times the head was asked for a report since the last event
	ActiveFor time.Duration // time until no event has passed an engine of the chain recently; 0: there is one
	Reported  bool          // the head has sent a report
	ReportAge time.Duration // of the head's last report
}

// SilenceCheck is what a check of a silent stream sends, with the time until the next check.
type SilenceCheck struct {
	AskHead      bool // for a report
	ProbeSilent  bool // the engines through which no event has passed
	NextCheckDue time.Duration
}

// Check decides on a check of a silent stream.
//   - If other streams receive events through all engines of the chain, the stream is waiting
//     for its turn. The check is repeated as soon as one of them counts as silent.
//   - Otherwise the head is asked for a report. The engines that are silent are probed with
//     the first report of a silence, because it is older than the silence, and rarely later.
func (e Evidence) Check() SilenceCheck {
	recentReport := e.Reported && e.ReportAge < maxUnreported
	if e.ActiveFor > 0 && (e.Silence < maxUnreported || recentReport) {
		return SilenceCheck{NextCheckDue: min(silentRecheck, max(minSilentRecheck, e.ActiveFor))}
	}
	return SilenceCheck{AskHead: true, ProbeSilent: e.Asked%reportsPerProbe == 0, NextCheckDue: silentRecheck}
}
