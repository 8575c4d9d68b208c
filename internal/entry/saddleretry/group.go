package saddleretry

import "time"

// Group bounds what the circuits of interchangeable targets may do together:
// the share of targets with an open circuit, and the probes sent to them as a
// share of the requests. It is used under one lock.
type Group struct {
	size   int
	open   int
	probes *Budget
}

const (
	maxOpenShare = 0.5  // of the targets of a group
	probeShare   = 0.02 // of the requests of a group
	probeReserve = 2    // probes
)

// NewGroup returns a group without targets.
func NewGroup() *Group {
	return &Group{probes: NewBudget(probeShare, probeReserve)}
}

// Resize sets the number of targets.
func (g *Group) Resize(size int) { g.size = size }

// OpenCircuits returns the number of targets with an open circuit.
func (g *Group) OpenCircuits() int { return g.open }

// Allows reports whether a request may be sent to a target of the group.
func (g *Group) Allows(now time.Time, c *Circuit) bool {
	return c.Allows(now) && (!c.Open() || g.probes.Left())
}

// Sent notes that a request is sent to a target of the group.
func (g *Group) Sent(now time.Time, c *Circuit) {
	g.probes.RecordFirstAttempt()
	if c.Open() {
		g.probes.TakeRetry()
	}
	c.Sent(now)
}

// Note takes in the outcome of an attempt. A circuit stays closed where one
// more open one would exceed the group's share.
func (g *Group) Note(now time.Time, c *Circuit, outcome Outcome) {
	before := c.Open()
	full := float64(g.open+1) > maxOpenShare*float64(g.size)
	if outcome == Failed && !before && full {
		return
	}
	c.Note(now, outcome)
	switch {
	case c.Open() && !before:
		g.open++
	case !c.Open() && before:
		g.open--
	}
}

// Forget notes that a target has left the group.
func (g *Group) Forget(c *Circuit) {
	if c.Open() {
		g.open--
	}
}
