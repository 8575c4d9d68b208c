package saddlereport

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// DurationHistogram is a histogram of durations up to an hour, with a resolution of
// one microsecond and three significant digits.
type DurationHistogram struct {
	histogram *hdrhistogram.Histogram
}

const significantDigits = 3

// NewDurationHistogram returns an empty histogram.
func NewDurationHistogram() *DurationHistogram {
	return &DurationHistogram{histogram: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), significantDigits)}
}

// Add adds a duration n times. Durations above an hour count as an hour, negative
// ones as zero.
func (h *DurationHistogram) Add(d time.Duration, n int) {
	us := min(max(d.Microseconds(), 0), int64(time.Hour/time.Microsecond))
	_ = h.histogram.RecordValues(us, int64(n))
}

// Count returns the number of durations that were added.
func (h *DurationHistogram) Count() int { return int(h.histogram.TotalCount()) }

// Percentile returns the duration at a percentile between 0 and 100.
func (h *DurationHistogram) Percentile(percent float64) time.Duration {
	return time.Duration(h.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// FormatMs formats a duration in milliseconds with one decimal.
func FormatMs(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// FormatRatio formats a ratio with three decimals.
func FormatRatio(ratio float64) string { return fmt.Sprintf("%.3f", ratio) }
