package saddlesim

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their virtual times.
type Clock struct {
	now          time.Time
	lastSequence uint64
	events       eventHeap
}

// runStart is the virtual time at the start of each run.
var runStart = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// NewClock returns a clock at the start of a run.
func NewClock() *Clock { return &Clock{now: runStart} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Elapsed returns the time from the start of the run.
func (c *Clock) Elapsed() time.Duration { return c.now.Sub(runStart) }

// AfterFunc schedules a call of run after d. A negative d counts as zero.
func (c *Clock) AfterFunc(d time.Duration, run func()) {
	c.lastSequence++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), sequence: c.lastSequence, run: run})
}

// Run runs all events up to the given time from the start, including those that
// they schedule, and then sets the clock to that time.
func (c *Clock) Run(until time.Duration) {
	end := runStart.Add(until)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// event is a scheduled call. Events of the same time run in the order in which
// they were scheduled, so that runs are reproducible.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
