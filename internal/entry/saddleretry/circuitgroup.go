package saddleretry

import "time"

// CircuitGroup limits the circuits of interchangeable targets as a whole: the
// share of targets whose circuit is open, and the share of requests that are
// probes. It is not safe for concurrent use.
type CircuitGroup struct {
	size        int
	open        int
	probeBudget *Budget
}

const (
	maxOpenShare = 0.5  // open circuits for each target of a group
	probeShare   = 0.02 // probes for each request of a group
	probeReserve = 2    // maximum number of unused probes
)

// NewCircuitGroup returns a group with no targets.
func NewCircuitGroup() *CircuitGroup {
	return &CircuitGroup{probeBudget: NewBudget(probeShare, probeReserve)}
}

// SetSize sets the number of targets, to which the share of open circuits
// refers.
func (g *CircuitGroup) SetSize(size int) { g.size = size }

// OpenCircuits returns the number of targets with an open circuit.
func (g *CircuitGroup) OpenCircuits() int { return g.open }

// Allows reports whether a request may be sent to the target of a circuit. A
// probe must also be within the group's probe budget.
func (g *CircuitGroup) Allows(now time.Time, c *Circuit) bool {
	return c.Allows(now) && (!c.Open() || g.probeBudget.Available())
}

// RecordSent records that a request is sent to the target of a circuit. Each request
// earns a share of a probe; a request to a target with an open circuit is a probe.
func (g *CircuitGroup) RecordSent(now time.Time, c *Circuit) {
	g.probeBudget.RecordFirstAttempt()
	if c.Open() {
		g.probeBudget.TakeRetry()
	}
	c.RecordSent(now)
}

// RecordOutcome records the outcome of an attempt. A circuit stays closed after
// a failure if opening it would exceed the group's share of open circuits.
func (g *CircuitGroup) RecordOutcome(now time.Time, c *Circuit, outcome Outcome) {
	wasOpen := c.Open()
	atLimit := float64(g.open+1) > maxOpenShare*float64(g.size)
	if outcome == Failed && !wasOpen && atLimit {
		return
	}
	c.RecordOutcome(now, outcome)
	switch {
	case c.Open() && !wasOpen:
		g.open++
	case !c.Open() && wasOpen:
		g.open--
	}
}

// Remove removes the circuit of a target that has left the group.
func (g *CircuitGroup) Remove(c *Circuit) {
	if c.Open() {
		g.open--
	}
}
