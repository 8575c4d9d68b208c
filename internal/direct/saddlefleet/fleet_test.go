package saddlefleet_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var (
	start    = time.Unix(1_800_000_000, 0)
	errReset = errors.New("connection reset")
)

type fixture struct {
	fleet   *saddlefleet.Fleet
	builder *saddleview.Builder
	down    []string
}

func newFixture(registrations ...*saddlewire.Registration) *fixture {
	f := &fixture{builder: saddleview.NewBuilder()}
	f.fleet = saddlefleet.New("entry-1", "a", zerolog.Nop(), func(address string, _ bool) { f.down = append(f.down, address) })
	f.update(&saddlewire.Update{Snapshot: true, Registrations: registrations})
	return f
}

func (f *fixture) update(u *saddlewire.Update) { f.updateAt(start, u) }

func (f *fixture) updateAt(now time.Time, u *saddlewire.Update) {
	f.builder.Update("control", u)
	f.fleet.Update(now, f.builder.Build())
}

func plainService(id, centre string) *saddlewire.Registration {
	return &saddlewire.Registration{Id: id, Group: "desk", Address: id, Centre: centre, Incarnation: 1}
}

func engine(id, centre string, from, to uint32) *saddlewire.Registration {
	return &saddlewire.Registration{
		Id: id, Group: "drafts", Address: id, Centre: centre, Incarnation: 1, Accelerator: "big",
		Layers: []*saddlewire.HeldLayers{{From: from, To: to}},
	}
}

func (f *fixture) pick(t *testing.T, now time.Time) string {
	t.Helper()
	target, done, ok := f.fleet.Pick(now, "desk", nil)
	if !ok {
		return ""
	}
	done()
	return string(target.ID)
}

func TestATargetOfTheOwnDataCentreIsChosen(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("far-1", "b"), plainService("near", "a"), plainService("far-2", "c"))
	for range 10 {
		is.Equal(f.pick(t, start), "near")
	}
}

// A target that loses answers uses up the attempts of requests. It must be chosen
// after the others until its faults have decayed (docs/incidents/kgotla-d3c5.md).
func TestATargetThatLostAnAnswerIsChosenLast(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("far", "b"), plainService("near", "a"))
	f.fleet.RecordFault(start, "near", "answer truncated")
	is.Equal(f.pick(t, start), "far")
	is.Equal(f.pick(t, start.Add(10*time.Second)), "near")
	f.fleet.RecordFault(start, "far", "answer truncated")
	f.fleet.RecordFault(start, "near", "answer truncated")
	is.True(f.pick(t, start) != "") // all have faults, so one of them is chosen
}

func TestUnreachableTargetIsRetriedLater(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("far", "b"), plainService("near", "a"))
	f.fleet.MarkDown(start, "near", "refused")
	is.Equal(f.pick(t, start), "far")
	is.Equal(f.pick(t, start.Add(time.Minute)), "near") // serves as a probe
	is.Equal(f.pick(t, start.Add(time.Minute)), "far")  // one probe at a time
	f.fleet.MarkWorking(start.Add(time.Minute), "near")
	is.Equal(f.pick(t, start.Add(time.Minute)), "near")
}

func TestDrainingTargetIsNotChosen(t *testing.T) {
	for name, u := range map[string]*saddlewire.Update{
		"leaving flag":                     {Registrations: []*saddlewire.Registration{{Id: "near", Group: "desk", Address: "near", Centre: "a", Incarnation: 1, Sequence: 2, Leaving: true}}},
		"departure recorded":               {Departures: []*saddlewire.Departure{{Target: "near", Incarnation: 1}}},
		"no longer registered":             {Unregistered: []string{"near"}},
		"address reused by another target": {Registrations: []*saddlewire.Registration{{Id: "other", Group: "else", Address: "near", Centre: "a", Incarnation: 2}}},
		"moved to another group":           {Registrations: []*saddlewire.Registration{{Id: "near", Group: "else", Address: "near", Centre: "a", Incarnation: 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(plainService("near", "a"))
			is.Equal(f.pick(t, start), "near")
			f.update(u)
			is.Equal(f.pick(t, start), "")
		})
	}
}

func TestRestartedTargetIsNotAffectedByEarlierDeparture(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("near", "a"))
	f.update(&saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "near", Incarnation: 1}}})
	again := plainService("near", "a")
	again.Incarnation = 2
	f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{again}})
	is.Equal(f.pick(t, start), "near")
}
