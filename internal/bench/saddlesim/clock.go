package saddlesim

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their virtual times.
type Clock struct {
	now    time.Time
	number uint64
	events eventHeap
}

// start is the virtual time at which each run begins.
var start = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// NewClock returns a clock at the start of a run.
func NewClock() *Clock { return &Clock{now: start} }

// Now returns the virtual time.
func (c *Clock) Now() time.Time { return c.now }

// Since returns the time from the start of the run.
func (c *Clock) Since() time.Duration { return c.now.Sub(start) }

// After has a function called after a time.
func (c *Clock) After(d time.Duration, run func()) {
	c.number++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), number: c.number, run: run})
}

// Run runs the events up to a time from the start, or until none is left.
func (c *Clock) Run(until time.Duration) {
	end := start.Add(until)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// event is a function to be called; those of one time run in the order in
// which they were added.
type event struct {
	at     time.Time
	number uint64
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
