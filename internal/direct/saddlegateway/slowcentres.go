package saddlegateway

import (
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// minSlowMeanPause and slowMeanFactor, a multiple of the usual pause between events,
	// determine the mean pause above which the streams of a data centre are slow. An answer
	// is late after a pause of 200 to 300 ms.
	minSlowMeanPause = 90 * time.Millisecond
	slowMeanFactor   = 2.5
	// slowWindow is the period over which the mean is taken.
	slowWindow = 400 * time.Millisecond
	// slowMinEvents is the minimum number of pauses for a valid mean.
	slowMinEvents = 8
	// slowHold is how long a data centre counts as slow after a slow window.
	slowHold = 1500 * time.Millisecond
)

// slowCentreDetector detects data centres whose streams are slow.
type slowCentreDetector struct {
	mu       sync.Mutex
	byCentre map[fireflysaddle.DataCentre]*pauseWindow
}

// pauseWindow accumulates the pauses between events within one window.
type pauseWindow struct {
	start     time.Time
	sum       time.Duration
	count     int
	slowUntil time.Time // the data centre counts as slow before this time
}

// recordPause adds a pause between events of a chain that passes through the given data
// centres. They are slow if their mean pause is above slowMean.
func (d *slowCentreDetector) recordPause(now time.Time, centres []fireflysaddle.DataCentre, pause, slowMean time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byCentre == nil {
		d.byCentre = map[fireflysaddle.DataCentre]*pauseWindow{}
	}
	for _, c := range centres {
		p, ok := d.byCentre[c]
		if !ok {
			p = &pauseWindow{start: now}
			d.byCentre[c] = p
		}
		p.sum += pause
		p.count++
		if now.Sub(p.start) < slowWindow {
			continue
		}
		if p.count >= slowMinEvents && p.sum/time.Duration(p.count) > slowMean {
			p.slowUntil = now.Add(slowHold)
		}
		p.start, p.sum, p.count = now, 0, 0
	}
}

// anySlow reports whether at least one of the data centres counts as slow.
func (d *slowCentreDetector) anySlow(now time.Time, centres []fireflysaddle.DataCentre) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(centres, func(c fireflysaddle.DataCentre) bool {
		p, ok := d.byCentre[c]
		return ok && now.Before(p.slowUntil)
	})
}

// list returns the data centres that count as slow, sorted.
func (d *slowCentreDetector) list(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for c, p := range d.byCentre {
		if now.Before(p.slowUntil) {
			out = append(out, string(c))
		}
	}
	slices.Sort(out)
	return out
}
