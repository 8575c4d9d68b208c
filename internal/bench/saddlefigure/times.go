package saddlefigure

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Times is a distribution of durations up to an hour.
type Times struct {
	histogram *hdrhistogram.Histogram
}

const significantDigits = 3

// NewTimes returns an empty distribution.
func NewTimes() *Times {
	return &Times{histogram: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), significantDigits)}
}

// Add adds a duration n times. Those above an hour count as an hour.
func (t *Times) Add(d time.Duration, n int) {
	us := min(max(d.Microseconds(), 0), int64(time.Hour/time.Microsecond))
	_ = t.histogram.RecordValues(us, int64(n))
}

// Count returns the number of durations.
func (t *Times) Count() int { return int(t.histogram.TotalCount()) }

// At returns the duration at a quantile in percent.
func (t *Times) At(percent float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// Ms formats a duration in milliseconds.
func Ms(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// Share formats a ratio.
func Share(x float64) string { return fmt.Sprintf("%.3f", x) }
