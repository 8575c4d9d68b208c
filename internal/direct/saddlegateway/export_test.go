package saddlegateway

import "time"

// DurationHistogram exports durationHistogram to tests with more durations than calls can be
// served.
type DurationHistogram struct{ h durationHistogram }

// Record exports durationHistogram.record.
func (d *DurationHistogram) Record(duration time.Duration, exact bool) { d.h.record(duration, exact) }

// Quantile exports durationHistogram.quantile.
func (d *DurationHistogram) Quantile(share float64) time.Duration { return d.h.quantile(share) }
