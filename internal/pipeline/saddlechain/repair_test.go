package saddlechain_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
)

// currentStep covers position 9. The stages of chainStatus hold exports of the
// first 6 positions and all outputs since.
var currentStep = saddlechain.StepRange{From: 9, To: 10}

// chainStatus returns a chain of four stages, the first n of which have
// completed the step.
func chainStatus(n int) []saddlechain.Status {
	out := make([]saddlechain.Status, 4)
	for i := range out {
		completed := currentStep.From
		if i < n {
			completed = currentStep.To
		}
		out[i] = saddlechain.Status{
			Stage:     stage(fmt.Sprintf("s%d", i), i, i+1, 4),
			Completed: completed, Accepted: completed, RetainedFrom: 6, ExportPositions: 6,
		}
	}
	return out
}

func spares() []saddlechain.Stage {
	var out []saddlechain.Stage
	for i := range 4 {
		out = append(out, stage(fmt.Sprintf("x%d", i), i, i+1, 4))
	}
	return out
}

type repairCase struct {
	name      string
	completed int // number of stages that have completed the step
	change    func([]saddlechain.Status)
	replaced  []int
	replays   []saddlechain.Replay
	lost      string // target of the expected *RepairError, if any
}

func repairCases() []repairCase {
	return []repairCase{
		{
			name: "a stage lost after it received the step", completed: 1,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}},
		},
		{
			name: "a stage lost after it sent the step on", completed: 3,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 10}, {Stage: 2, Resume: 9}},
		},
		{
			name: "the last stage", completed: 3,
			change:   func(s []saddlechain.Status) { s[3].Lost = true },
			replaced: []int{3},
			replays:  []saddlechain.Replay{{Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "two stages that are not neighbours", completed: 2,
			change:   func(s []saddlechain.Status) { s[1].Lost = true; s[3].Lost = true },
			replaced: []int{1, 3},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}, {Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "two neighbours without exports", completed: 2,
			change: func(s []saddlechain.Status) {
				for i := range s {
					s[i].RetainedFrom, s[i].ExportPositions = 0, 0
				}
				s[1].Lost, s[2].Lost = true, true
			},
			replaced: []int{1, 2},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 0}},
		},
		{
			name: "two neighbours with an export", completed: 2,
			change: func(s []saddlechain.Status) { s[1].Lost = true; s[2].Lost = true },
			lost:   "s2",
		},
		{
			name: "an export that is too old", completed: 2,
			change: func(s []saddlechain.Status) { s[2].Lost = true; s[1].RetainedFrom = 7 },
			lost:   "s2",
		},
		{
			name: "a step lost between two live stages", completed: 2,
			replays: []saddlechain.Replay{{Stage: 1, Resume: 9}},
		},
		{
			name: "a lost step that is no longer retained", completed: 2,
			change: func(s []saddlechain.Status) { s[1].RetainedFrom = 10 },
			lost:   "s2",
		},
		{
			name: "a lost token", completed: 4,
			replays: []saddlechain.Replay{{Stage: 3, Resume: 9}},
		},
		{
			name: "a step queued at its stage", completed: 2,
			change: func(s []saddlechain.Status) { s[2].Accepted = 10 },
		},
	}
}

func TestPlanRepair(t *testing.T) {
	for _, c := range repairCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status := chainStatus(c.completed)
			if c.change != nil {
				c.change(status)
			}
			plan, err := saddlechain.PlanRepair(status, currentStep, spares())
			if c.lost != "" {
				var repair *saddlechain.RepairError
				is.True(errors.As(err, &repair))
				is.Equal(repair.Target, fireflysaddle.TargetID(c.lost))
				return
			}
			is.NoErr(err)
			is.Equal(plan.Replaced, c.replaced)
			is.Equal(plan.Replays, c.replays)
		})
	}
}

func TestPlanRepairRequiresSpareWithSameLayers(t *testing.T) {
	is := is.New(t)
	status := chainStatus(2)
	status[2].Lost = true
	_, err := saddlechain.PlanRepair(status, currentStep, []saddlechain.Stage{stage("x", 2, 4, 4), stage("y", 1, 2, 4)})
	var repair *saddlechain.RepairError
	is.True(errors.As(err, &repair))
}

// For every combination of lost stages, a repaired chain covers the model, keeps
// the live stages, and requests no output that a stage no longer retains.
func TestPlanRepairKeepsLiveStages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := chainStatus(rapid.IntRange(1, 4).Draw(t, "ran"))
		for i := range status {
			status[i].RetainedFrom = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "kept"))
			status[i].ExportPositions = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "export"))
			status[i].Lost = i > 0 && rapid.Bool().Draw(t, "lost")
		}
		available := slices.DeleteFunc(spares(), func(saddlechain.Stage) bool {
			return rapid.IntRange(0, 4).Draw(t, "missing") == 0
		})
		plan, err := saddlechain.PlanRepair(status, currentStep, available)
		if err != nil {
			return
		}
		for i, s := range plan.Chain.Stages() {
			if status[i].Lost == (s == status[i].Stage) {
				t.Fatalf("stage %d, lost: %t, is %q", i, status[i].Lost, s.Target)
			}
		}
		for _, p := range plan.Replays {
			sender := status[p.Stage]
			from := p.Resume
			if p.Restore {
				from = sender.ExportPositions
			}
			if sender.Lost || p.Stage+1 < len(status) && sender.RetainedFrom > from {
				t.Fatalf("stage %d is asked for position %d: %+v", p.Stage, from, sender)
			}
		}
	})
}
