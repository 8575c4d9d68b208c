package saddleplan_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
)

// unevenModel returns a model whose engines differ in speed and memory, and which reads prompts
// in passes beside decoding.
func unevenModel() *saddlerouting.Model {
	m := smallCacheModel()
	m.ChunkTokens, m.StepsPerPass = 512, 4
	m.Accelerators["v100"] = saddlerouting.Accelerator{MemoryMB: 14400, StepTimeFactor: 5.3, PrefillFactor: 7.9}
	m.Accelerators["a100"] = saddlerouting.Accelerator{MemoryMB: 72000, StepTimeFactor: 2.4, PrefillFactor: 3.2}
	return m
}

// unevenCentres returns data centres that can hold the model twice and differ in the share of
// slow engines.
func unevenCentres() map[string][]saddleplan.Engine {
	out := map[string][]saddleplan.Engine{}
	for name, kinds := range map[string]map[fireflysaddle.Accelerator]int{
		"mostly fast": {"a100": 1, "v100": 14, "l4": 5},
		"even":        {"a100": 3, "v100": 6, "l4": 7},
		"mostly slow": {"a100": 1, "v100": 9, "l4": 10},
	} {
		for kind, count := range kinds {
			for i := range count {
				out[name] = append(out[name], saddleplan.Engine{ID: fireflysaddle.TargetID(fmt.Sprintf("%s-%d", kind, i)), Centre: "a", Accelerator: kind})
			}
		}
	}
	return out
}

// settleFor applies plans until nothing more is ordered.
func settleFor(t *testing.T, m *saddlerouting.Model, list []saddleplan.Engine, goal saddleplan.Goal) {
	t.Helper()
	for range 2 * len(list) {
		plan := saddleplan.Plan(m, list, goal)
		if len(plan) == 0 {
			return
		}
		apply(list, plan)
	}
	t.Fatal("the plan does not settle")
}

func heads(list []saddleplan.Engine) int {
	n := 0
	for _, e := range list {
		if !e.Lost && e.Held.Len() > 0 && e.Held.From == 0 {
			n++
		}
	}
	return n
}

// Demand over room for good: where callers compete for room, the memory of a second copy holds
// more of their requests.
func TestCompetingCallersGetMoreRoomThanTwoCopiesLeave(t *testing.T) {
	m := unevenModel()
	for name, list := range unevenCentres() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			copies := append([]saddleplan.Engine(nil), list...)
			settleFor(t, m, copies, saddleplan.GoalCopies)
			settleFor(t, m, list, saddleplan.GoalRoom)
			before, after := saddleplan.Capacities(m, copies)["a"], saddleplan.Capacities(m, list)["a"]
			is.True(float64(after.Tokens) >= 1.3*float64(before.Tokens))
			is.True(after.Empty >= 1) // a spare replaces a single holder
			is.True(heads(list) >= 3) // the slots of two heads do not suffice for that room
			is.Equal(len(saddleplan.Plan(m, list, saddleplan.GoalRoom)), 0)
		})
	}
}

// Prompts of a full data centre in one copy: an engine that holds many layers reads them too
// slowly, because each of its passes takes long and reads a bounded number of tokens.
func TestNoEngineOfTheCopyReadsTooSlowly(t *testing.T) {
	m := unevenModel()
	for name, list := range unevenCentres() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := saddleplan.Plan(m, list, saddleplan.GoalRoom)
			apply(list, plan)
			tokens := saddleplan.Capacities(m, list)["a"].Tokens
			perSecond := float64(tokens) * float64(m.MeanPromptTokens) / float64(m.MeanPromptTokens+m.MeanAnswerTokens) / 3
			for _, e := range list {
				if e.Held.Len() > 1 {
					is.True(m.PrefillLimit(m.Accelerators[e.Accelerator], e.Held.Len()) >= 0.9*perSecond)
				}
			}
		})
	}
}

// An engine is lost: the spare takes over layers without a holder first, and a head that is
// lost is replaced once an engine is empty.
func TestLostEnginesOfTheCopyAreReplaced(t *testing.T) {
	m := unevenModel()
	for name, list := range unevenCentres() {
		t.Run(name, func(t *testing.T) {
			settleFor(t, m, list, saddleplan.GoalRoom)
			for i := range list {
				is := is.New(t)
				next := append([]saddleplan.Engine(nil), list...)
				next[i].Lost = true
				wasHead := next[i].Held.Len() > 0 && next[i].Held.From == 0
				settleFor(t, m, next, saddleplan.GoalRoom)
				_, complete := smallestCapacity(m, next)
				is.True(complete)
				if wasHead {
					next = append(next, saddleplan.Engine{ID: "new", Centre: "a", Accelerator: "l4"})
					settleFor(t, m, next, saddleplan.GoalRoom)
					is.True(heads(next) >= 3)
				}
			}
		})
	}
}

// Engines that cannot hold the model twice are placed as before, whatever callers compete for.
func TestSmallDataCentresArePlacedAsBefore(t *testing.T) {
	is := is.New(t)
	list := joburg()
	is.Equal(saddleplan.Plan(model(), list, saddleplan.GoalRoom), saddleplan.Plan(model(), list, saddleplan.GoalCopies))
}
