package saddlefleet_test

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// newHugeFleet returns the fleet of an entry with three data centres, each with a number of
// entries and of engines, whose layers are planned until the plan changes no more.
func newHugeFleet(tb testing.TB, engines, entries int) *fixture {
	tb.Helper()
	pool := newLargePool()
	u := &saddlewire.Update{Snapshot: true}
	var planned []saddleplan.Engine
	for c := range 3 {
		centre := string(rune('a' + c))
		for i := range engines {
			accelerator := "t4"
			if i%26 < 3 {
				accelerator = "a100s"
			} else if i%26 < 13 {
				accelerator = "l4"
			}
			id := fmt.Sprintf("%s%04d", centre, i)
			planned = append(planned, saddleplan.Engine{ID: fireflysaddle.TargetID(id), Centre: fireflysaddle.DataCentre(centre), Accelerator: fireflysaddle.Accelerator(accelerator)})
			u.Registrations = append(u.Registrations, &saddlewire.Registration{Id: id, Group: "drafts", Address: id, Centre: centre, Incarnation: 1, Accelerator: accelerator})
		}
		for i := range entries {
			u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprintf("entry-%s%d", centre, i), Role: "entry", Centre: centre})
		}
	}
	for plan := saddleplan.Plan(pool.Model, planned, saddleplan.GoalCopies); len(plan) > 0; plan = saddleplan.Plan(pool.Model, planned, saddleplan.GoalCopies) {
		for i, e := range planned {
			if r, ok := plan[e.ID]; ok {
				planned[i].Held = r
				u.Registrations[i].Layers = []*saddlewire.HeldLayers{{From: uint32(r.From), To: uint32(r.To)}}
			}
		}
	}
	f := &fixture{builder: saddleview.NewBuilder()}
	f.fleet = saddlefleet.New("entry-a0", "a", zerolog.Nop(), func(string, bool) {})
	f.update(u)
	return f
}

// BenchmarkChoiceInHugeFleet measures choices of a chain, with capacity and without.
func BenchmarkChoiceInHugeFleet(b *testing.B) {
	for _, engines := range []int{26, 100, 300, 1000} {
		f := newHugeFleet(b, engines, engines/10)
		pool := newLargePool()
		for name, tokens := range map[string]int{"fits": draftTokens, "full": 10_000_000} {
			b.Run(fmt.Sprint(name, engines), func(b *testing.B) {
				for b.Loop() {
					if _, done, _, ok := f.fleet.PickChain(start, pool, tokens, nil); ok {
						done()
					}
				}
			})
		}
	}
}

// BenchmarkUpdateOfHugeFleet measures an update with one changed registration, and one without.
func BenchmarkUpdateOfHugeFleet(b *testing.B) {
	f := newHugeFleet(b, 1000, 100)
	sequence := uint64(1)
	b.Run("registration", func(b *testing.B) {
		for b.Loop() {
			sequence++
			f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{{Id: "a0001", Group: "drafts", Address: "a0001", Centre: "a", Incarnation: 1, Accelerator: "t4", Sequence: sequence}}})
		}
	})
	b.Run("nothing", func(b *testing.B) {
		for b.Loop() {
			f.update(&saddlewire.Update{})
		}
	})
	b.Run("due probes", func(b *testing.B) {
		for b.Loop() {
			f.fleet.StartDueProbes(start)
		}
	})
}

// BenchmarkPlanOfHugeFleet measures one plan of an unchanged fleet.
func BenchmarkPlanOfHugeFleet(b *testing.B) {
	pool := newLargePool()
	var engines []saddleplan.Engine
	for i := range 3000 {
		engines = append(engines, saddleplan.Engine{ID: fireflysaddle.TargetID(fmt.Sprint(i)), Centre: fireflysaddle.DataCentre(rune('a' + i%3)), Accelerator: "l4"})
	}
	for plan := saddleplan.Plan(pool.Model, engines, saddleplan.GoalCopies); len(plan) > 0; plan = saddleplan.Plan(pool.Model, engines, saddleplan.GoalCopies) {
		for i, e := range engines {
			if r, ok := plan[e.ID]; ok {
				engines[i].Held = r
			}
		}
	}
	b.ResetTimer()
	for b.Loop() {
		saddleplan.Plan(pool.Model, engines, saddleplan.GoalCopies)
	}
}
