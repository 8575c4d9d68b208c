package saddleretry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

var epoch = time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)

const (
	firstOpen = 500 * time.Millisecond
	longest   = 8 * time.Second
)

func opened(now time.Time) *saddleretry.Circuit {
	c := &saddleretry.Circuit{}
	c.Sent(now)
	c.Note(now, saddleretry.Failed)
	return c
}

func TestOnlyASuccessClosesACircuit(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome saddleretry.Outcome
		open    bool
	}{
		{"caller gone, refusal, other stage", saddleretry.Neutral, true},
		{"failed again", saddleretry.Failed, true},
		{"served", saddleretry.Succeeded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			circuit := opened(epoch)
			probe := epoch.Add(firstOpen)
			is.True(circuit.Allows(probe))
			circuit.Sent(probe)
			circuit.Note(probe, c.outcome)
			is.Equal(circuit.Open(), c.open)
		})
	}
}

func TestAnOpenCircuitLetsOneProbeThroughAtATime(t *testing.T) {
	is := is.New(t)
	circuit := opened(epoch)
	is.True(!circuit.Allows(epoch.Add(firstOpen - 1)))
	probe := epoch.Add(firstOpen)
	is.True(circuit.Allows(probe))
	circuit.Sent(probe)
	is.True(!circuit.Allows(probe.Add(time.Second)))
	circuit.Note(probe.Add(time.Second), saddleretry.Neutral)
	is.True(circuit.Allows(probe.Add(time.Second)))
}

func TestAProbeWithoutAnOutcomeDoesNotShutATargetOutForGood(t *testing.T) {
	is := is.New(t)
	circuit := opened(epoch)
	probe := epoch.Add(firstOpen)
	circuit.Sent(probe)
	is.True(circuit.Allows(probe.Add(time.Minute)))
}

func TestFailuresOfRequestsInFlightTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	circuit := opened(epoch)
	for range 30 {
		circuit.Note(epoch.Add(time.Millisecond), saddleretry.Failed)
	}
	is.True(circuit.Allows(epoch.Add(firstOpen)))
}

func TestTheTimeBetweenProbesDoublesUpToABound(t *testing.T) {
	is := is.New(t)
	now := epoch
	circuit := opened(now)
	want := firstOpen
	for range 20 {
		is.True(!circuit.Allows(now.Add(want - 1)))
		now = now.Add(want)
		is.True(circuit.Allows(now))
		circuit.Sent(now)
		circuit.Note(now, saddleretry.Failed)
		want = min(2*want, longest)
	}
}

func TestAGroupSendsFewProbesHoweverManyCircuitsAreOpen(t *testing.T) {
	is := is.New(t)
	group := saddleretry.NewGroup()
	group.Resize(100)
	circuits := make([]*saddleretry.Circuit, 40)
	for i := range circuits {
		circuits[i] = &saddleretry.Circuit{}
		group.Note(epoch, circuits[i], saddleretry.Failed)
	}
	sound := &saddleretry.Circuit{}
	probes := 0
	for n := range 1000 {
		now := epoch.Add(time.Minute + time.Duration(n)*time.Millisecond)
		probed := circuits[n%len(circuits)]
		if !group.Allows(now, probed) {
			group.Sent(now, sound)
			continue
		}
		probes++
		group.Sent(now, probed)
		group.Note(now, probed, saddleretry.Neutral)
	}
	is.True(probes > 10)
	is.True(probes <= 25) // 2 % of the requests and a small reserve
}

func TestAGroupOpensNoMoreThanHalfOfItsCircuits(t *testing.T) {
	is := is.New(t)
	group := saddleretry.NewGroup()
	group.Resize(9)
	circuits := make([]saddleretry.Circuit, 9)
	for i := range circuits {
		group.Note(epoch, &circuits[i], saddleretry.Failed)
	}
	is.Equal(group.OpenCircuits(), 4)
	group.Note(epoch, &circuits[0], saddleretry.Succeeded)
	group.Note(epoch, &circuits[8], saddleretry.Failed)
	is.Equal(group.OpenCircuits(), 4)
	is.True(circuits[8].Open())
	group.Forget(&circuits[8])
	is.Equal(group.OpenCircuits(), 3)
}
