package saddlesim

import (
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
)

// Figures are what a run measured from its warm-up on.
type Figures struct {
	First *saddlefigure.Times // from a draft to its first token
	Gap   *saddlefigure.Times // between tokens
	Plain *saddlefigure.Times // whole plain calls

	Requests int // sent after the warm-up
	Attempts int // sent after the warm-up
	Answered int
	Refused  int
	Failed   int
	Good     int // answered within their patience

	FirstAffected time.Duration // from the first fault until the first affected request was served
	LastAffected  time.Duration
	Affected      int
	Unserved      int // affected requests that ended otherwise

	tokens   float64
	shared   int
	hits     int
	clock    *Clock
	from, to time.Time
	fault    time.Time
}

func newFigures(clock *Clock, cfg Config) *Figures {
	f := &Figures{
		First: saddlefigure.NewTimes(),
		Gap:   saddlefigure.NewTimes(),
		Plain: saddlefigure.NewTimes(),
		clock: clock,
		from:  start.Add(cfg.Warm),
		to:    start.Add(cfg.Length),
	}
	if len(cfg.Faults) > 0 {
		f.fault = start.Add(cfg.Faults[0].At)
	}
	return f
}

// TokensPerSecond returns the generated tokens a second.
func (f *Figures) TokensPerSecond() float64 { return f.tokens / f.to.Sub(f.from).Seconds() }

// HitShare returns the share of the shared prompt tokens found in caches.
func (f *Figures) HitShare() float64 { return float64(f.hits) / float64(max(f.shared, 1)) }

// AttemptsPerRequest returns the mean number of attempts.
func (f *Figures) AttemptsPerRequest() float64 {
	return float64(f.Attempts) / float64(max(f.Requests, 1))
}

func (f *Figures) counting() bool {
	now := f.clock.Now()
	return !now.Before(f.from) && now.Before(f.to)
}

func (f *Figures) request() {
	if f.counting() {
		f.Requests++
	}
}

func (f *Figures) attempt() {
	if f.counting() {
		f.Attempts++
	}
}

func (f *Figures) hit(tokens int) {
	if f.counting() {
		f.hits += tokens
	}
}

func (f *Figures) prompted(tokens int) {
	if f.counting() {
		f.shared += tokens
	}
}

func (f *Figures) gap(d time.Duration, n int) {
	if f.counting() && n > 0 {
		f.Gap.Add(d, n)
	}
}

// produced counts the tokens that an attempt generated up to a time, as far as
// they fall within the measured time.
func (f *Figures) produced(y *try, until time.Time) {
	from := later(y.first.Add(-seconds(1/y.rate)), f.from)
	to := until
	if f.to.Before(to) {
		to = f.to
	}
	if to.After(from) {
		f.tokens += to.Sub(from).Seconds() * y.rate
	}
}

func (f *Figures) end(j *Job, how Ending, now time.Time) {
	if j.Affected {
		f.endAffected(how, now)
	}
	if j.sent.Before(f.from) {
		return
	}
	switch how {
	case Answered:
		f.Answered++
		f.endAnswered(j, now)
	case Refused:
		f.Refused++
	case Failed:
		f.Failed++
	}
}

func (f *Figures) endAnswered(j *Job, now time.Time) {
	if j.Request.Patience == 0 || now.Sub(j.sent) <= j.Request.Patience {
		f.Good++
	}
	if j.Request.Plain {
		f.Plain.Add(now.Sub(j.sent), 1)
		return
	}
	f.First.Add(j.First, 1)
}

func (f *Figures) endAffected(how Ending, now time.Time) {
	f.Affected++
	if how != Answered {
		f.Unserved++
		return
	}
	took := now.Sub(f.fault)
	if f.FirstAffected == 0 {
		f.FirstAffected = took
	}
	f.LastAffected = max(f.LastAffected, took)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
