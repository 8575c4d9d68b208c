package saddleretry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

var epoch = time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)

const (
	initialOpenDuration = 500 * time.Millisecond
	maxOpenDuration     = 8 * time.Second
)

func openCircuit(now time.Time) *saddleretry.Circuit {
	c := &saddleretry.Circuit{}
	c.RecordSent(now)
	c.RecordOutcome(now, saddleretry.Failed)
	return c
}

func TestOnlySuccessClosesCircuit(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome saddleretry.Outcome
		open    bool
	}{
		{"caller cancelled, refusal, other stage", saddleretry.Neutral, true},
		{"failed again", saddleretry.Failed, true},
		{"served", saddleretry.Succeeded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			circuit := openCircuit(epoch)
			probeTime := epoch.Add(initialOpenDuration)
			is.True(circuit.Allows(probeTime))
			circuit.RecordSent(probeTime)
			circuit.RecordOutcome(probeTime, c.outcome)
			is.Equal(circuit.Open(), c.open)
		})
	}
}

func TestOpenCircuitAllowsOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	circuit := openCircuit(epoch)
	is.True(!circuit.Allows(epoch.Add(initialOpenDuration - 1)))
	probeTime := epoch.Add(initialOpenDuration)
	is.True(circuit.Allows(probeTime))
	circuit.RecordSent(probeTime)
	is.True(!circuit.Allows(probeTime.Add(time.Second)))
	circuit.RecordOutcome(probeTime.Add(time.Second), saddleretry.Neutral)
	is.True(circuit.Allows(probeTime.Add(time.Second)))
}

func TestProbeWithoutOutcomeTimesOut(t *testing.T) {
	is := is.New(t)
	circuit := openCircuit(epoch)
	probeTime := epoch.Add(initialOpenDuration)
	circuit.RecordSent(probeTime)
	is.True(circuit.Allows(probeTime.Add(time.Minute)))
}

func TestConcurrentFailuresCountOnce(t *testing.T) {
	is := is.New(t)
	circuit := openCircuit(epoch)
	for range 30 {
		circuit.RecordOutcome(epoch.Add(time.Millisecond), saddleretry.Failed)
	}
	is.True(circuit.Allows(epoch.Add(initialOpenDuration)))
}

func TestProbeIntervalDoublesUpToMaximum(t *testing.T) {
	is := is.New(t)
	now := epoch
	circuit := openCircuit(now)
	want := initialOpenDuration
	for range 20 {
		is.True(!circuit.Allows(now.Add(want - 1)))
		now = now.Add(want)
		is.True(circuit.Allows(now))
		circuit.RecordSent(now)
		circuit.RecordOutcome(now, saddleretry.Failed)
		want = min(2*want, maxOpenDuration)
	}
}

func TestGroupLimitsProbesOfOpenCircuits(t *testing.T) {
	is := is.New(t)
	group := saddleretry.NewCircuitGroup()
	group.SetSize(100)
	circuits := make([]*saddleretry.Circuit, 40)
	for i := range circuits {
		circuits[i] = &saddleretry.Circuit{}
		group.RecordOutcome(epoch, circuits[i], saddleretry.Failed)
	}
	healthy := &saddleretry.Circuit{}
	probes := 0
	for n := range 1000 {
		now := epoch.Add(time.Minute + time.Duration(n)*time.Millisecond)
		probed := circuits[n%len(circuits)]
		if !group.Allows(now, probed) {
			group.RecordSent(now, healthy)
			continue
		}
		probes++
		group.RecordSent(now, probed)
		group.RecordOutcome(now, probed, saddleretry.Neutral)
	}
	is.True(probes > 10)
	is.True(probes <= 25) // 2 % of the requests and a small reserve
}

func TestGroupOpensAtMostHalfOfItsCircuits(t *testing.T) {
	is := is.New(t)
	group := saddleretry.NewCircuitGroup()
	group.SetSize(9)
	circuits := make([]saddleretry.Circuit, 9)
	for i := range circuits {
		group.RecordOutcome(epoch, &circuits[i], saddleretry.Failed)
	}
	is.Equal(group.OpenCircuits(), 4)
	group.RecordOutcome(epoch, &circuits[0], saddleretry.Succeeded)
	group.RecordOutcome(epoch, &circuits[8], saddleretry.Failed)
	is.Equal(group.OpenCircuits(), 4)
	is.True(circuits[8].Open())
	group.Remove(&circuits[8])
	is.Equal(group.OpenCircuits(), 3)
}
