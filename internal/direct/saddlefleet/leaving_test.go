package saddlefleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Guards against a target that announced in an answer that it is leaving getting further
// requests: control may not know it yet, and heartbeats from before say that it is ready.
func TestTargetThatAnnouncedLeavingIsNotChosen(t *testing.T) {
	ready := plainService("near", "a")
	ready.Sequence = 2
	for name, u := range map[string]*saddlewire.Update{
		"unknown to control":      {},
		"ready in a later report": {Registrations: []*saddlewire.Registration{ready}},
		"another target arrives":  {Registrations: []*saddlewire.Registration{{Id: "new", Group: "else", Address: "new", Centre: "a", Incarnation: 3}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(plainService("near", "a"))
			target, done, ok := f.fleet.Pick(start, "desk", nil)
			is.True(ok)
			f.fleet.RecordLeaving(target, "r1")
			f.update(u)
			is.Equal(f.pick(t, start), "")
			done()
			f.update(&saddlewire.Update{Unregistered: []string{"near"}})
			f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{plainService("near", "a")}})
			is.Equal(f.pick(t, start), "") // the same incarnation has registered again
			again := plainService("near", "a")
			again.Incarnation = 2
			f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{again}})
			is.Equal(f.pick(t, start), "near")
		})
	}
}

// An answer of an earlier incarnation says nothing about the one that has taken its place.
func TestAnnouncementOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("near", "a"))
	earlier, done, ok := f.fleet.Pick(start, "desk", nil)
	is.True(ok)
	done()
	again := plainService("near", "a")
	again.Incarnation = 2
	f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{again}})
	f.fleet.RecordLeaving(earlier, "r1")
	is.Equal(f.pick(t, start), "near")
}

// An engine that announced that it is leaving is no stage of a new chain, be it the first or
// a later one, and a chain in progress keeps its reservation.
func TestLeavingEngineIsNoStage(t *testing.T) {
	for _, leaver := range []string{"a0", "a2"} {
		t.Run(leaver, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
			f.fleet.RequestProbe(start, leaver)
			due := f.fleet.StartDueProbes(start)
			is.Equal(len(due), 1)
			f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{Leaving: true, Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, nil)
			for range 5 {
				head, done, _ := f.chain(start, 1)
				is.Equal(head, "b0")
				done()
			}
			is.Equal(f.fleet.FirstExcluded([]string{leaver}), "") // running streams are not rerouted
		})
	}
}
