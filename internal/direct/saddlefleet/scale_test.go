package saddlefleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// draftTokens is the number of prompt and answer tokens of an average draft.
const draftTokens = 960

// newLargePool returns a pool for a model of 80 layers on three types of accelerator.
func newLargePool() *saddlerouting.Pool {
	return &saddlerouting.Pool{Group: "drafts", Model: &saddlerouting.Model{
		Layers: 80, LayerMB: 1750, TokenBytes: 328_000, Step: time.Millisecond, PrefillTokensPerSecond: 353_000,
		MeanPromptTokens: 800, MeanAnswerTokens: 170,
		Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{
			"a100s": {MemoryMB: 36_000, StepTimeFactor: 3.1, PrefillFactor: 3.2},
			"l4":    {MemoryMB: 21_600, StepTimeFactor: 16, PrefillFactor: 8.2},
			"t4":    {MemoryMB: 14_400, StepTimeFactor: 15, PrefillFactor: 15},
		},
	}}
}

// newLargeFleet returns the fleet of an entry with 21 entries and 26 engines in each data
// centre, placed as the placer does.
func newLargeFleet(tb testing.TB, pool *saddlerouting.Pool, centres int) *fixture {
	tb.Helper()
	var engines []saddleplan.Engine
	u := &saddlewire.Update{Snapshot: true}
	for c := range centres {
		centre := string(rune('a' + c))
		for i := range 26 {
			accelerator := "t4"
			if i < 3 {
				accelerator = "a100s"
			} else if i < 13 {
				accelerator = "l4"
			}
			id := fmt.Sprintf("%s%02d", centre, i)
			engines = append(engines, saddleplan.Engine{
				ID: fireflysaddle.TargetID(id), Centre: fireflysaddle.DataCentre(centre), Accelerator: fireflysaddle.Accelerator(accelerator),
			})
			u.Registrations = append(u.Registrations, &saddlewire.Registration{
				Id: id, Group: "drafts", Address: id, Centre: centre, Incarnation: 1, Accelerator: accelerator,
			})
		}
		for i := range 21 {
			u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprintf("entry-%s%d", centre, i), Role: "entry", Centre: centre})
		}
	}
	plan := saddleplan.Plan(pool.Model, engines, saddleplan.GoalCopies)
	for _, reg := range u.GetRegistrations() {
		if r, ok := plan[fireflysaddle.TargetID(reg.GetId())]; ok {
			reg.Layers = []*saddlewire.HeldLayers{{From: uint32(r.From), To: uint32(r.To)}}
		}
	}
	f := &fixture{builder: saddleview.NewBuilder()}
	f.fleet = saddlefleet.New("entry-a0", "a", zerolog.Nop(), func(string, bool) {})
	f.update(u)
	return f
}

// allocationsPerPick returns the allocations of one choice of a chain. They stand for its
// work, because each partial chain that the search considers is stored.
func allocationsPerPick(tb testing.TB, centres, tokens int) float64 {
	tb.Helper()
	pool := newLargePool()
	f := newLargeFleet(tb, pool, centres)
	return testing.AllocsPerRun(50, func() {
		_, done, _, ok := f.fleet.PickChain(start, pool, tokens, nil)
		if ok {
			done()
		}
	})
}

// Pattern: a draft arrives at an idle fleet of many data centres. The work of choosing a
// chain must not grow with the data centres, because the local one can serve the draft.
func TestWorkOfChoiceDoesNotGrowWithDataCentres(t *testing.T) {
	is := is.New(t)
	is.True(allocationsPerPick(t, 5, draftTokens) <= 1.2*allocationsPerPick(t, 1, draftTokens))
}

// Pattern: a crowd of drafts waits at a full fleet, and each asks for a chain again and
// again. The work of a choice that finds no capacity may grow with the data centres, but
// not with the square of their engines.
func TestWorkOfFailedChoiceGrowsWithDataCentresOnly(t *testing.T) {
	is := is.New(t)
	const moreThanFits = 10_000_000
	is.True(allocationsPerPick(t, 5, moreThanFits) <= 6*allocationsPerPick(t, 1, moreThanFits))
}

func BenchmarkPickChain(b *testing.B) {
	for name, c := range map[string]struct{ centres, tokens int }{
		"one data centre":    {1, draftTokens},
		"five data centres":  {5, draftTokens},
		"five, no capacity":  {5, 10_000_000},
		"three data centres": {3, draftTokens},
	} {
		b.Run(name, func(b *testing.B) {
			pool := newLargePool()
			f := newLargeFleet(b, pool, c.centres)
			for b.Loop() {
				if _, done, _, ok := f.fleet.PickChain(start, pool, c.tokens, nil); ok {
					done()
				}
			}
		})
	}
}
