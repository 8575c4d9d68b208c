package saddleplan_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/place/saddleplan"
)

// Guards against a plan that ends its process because engines report layers that the model does
// not have.
func TestPlanToleratesAnyHeldLayers(t *testing.T) {
	kinds := []fireflysaddle.Accelerator{"h100", "a100s", "l4", "t4"}
	rapid.Check(t, func(t *rapid.T) {
		m := model()
		var list []saddleplan.Engine
		for i := range rapid.IntRange(1, 20).Draw(t, "engines") {
			from := rapid.SampledFrom([]int{0, 0, 10, 40, 79, 80, 90, 1 << 31}).Draw(t, "from")
			list = append(list, saddleplan.Engine{
				ID: fireflysaddle.TargetID(fmt.Sprint("e", i)), Centre: "a", Accelerator: rapid.SampledFrom(kinds).Draw(t, "kind"),
				Held:    saddleplan.Range{From: from, To: from + rapid.SampledFrom([]int{0, 1, 10, 40, 1 << 31}).Draw(t, "layers")},
				Lost:    rapid.Bool().Draw(t, "lost"),
				Slow:    rapid.Bool().Draw(t, "slow"),
				Pending: rapid.Bool().Draw(t, "pending"),
			})
		}
		checkPlan(t, m, list)
		saddleplan.Capacities(m, list)
	})
}

// checkPlan fails if a plan for engines whose layers the model has all assigns others.
func checkPlan(t *rapid.T, m *saddlerouting.Model, list []saddleplan.Engine) {
	plan := saddleplan.Plan(m, list, saddleplan.GoalCopies)
	for _, e := range list {
		r, ok := plan[e.ID]
		if held := e.Held; ok && (held.Len() == 0 || m.HasLayers(held.From, held.To)) && !m.HasLayers(r.From, r.To) {
			t.Fatalf("%s, which holds %+v, is to hold %+v", e.ID, held, r)
		}
	}
}
