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

// currentStep covers position 9. The stages of chainStatus hold exports of
// positions 0 to 5 and all outputs from position 6 on.
var currentStep = saddlechain.StepRange{From: 9, To: 10}

// chainStatus returns the status of four stages. The first completedStages of them
// have completed the current step.
func chainStatus(completedStages int) []saddlechain.Status {
	out := make([]saddlechain.Status, 4)
	for i := range out {
		completed := currentStep.From
		if i < completedStages {
			completed = currentStep.To
		}
		out[i] = saddlechain.Status{
			Stage:     stage(fmt.Sprintf("s%d", i), i, i+1, 4),
			Completed: completed, Accepted: completed, RetainedFrom: 6, ExportPositions: 6,
		}
	}
	return out
}

// spares returns one spare for each stage of chainStatus.
func spares() []saddlechain.Stage {
	var out []saddlechain.Stage
	for i := range 4 {
		out = append(out, stage(fmt.Sprintf("x%d", i), i, i+1, 4))
	}
	return out
}

type repairCase struct {
	name            string
	completedStages int // number of stages that have completed the current step
	change          func([]saddlechain.Status)
	replaced        []int
	replays         []saddlechain.Replay
	errorTarget     string // target of the expected *RepairError; empty if the repair succeeds
}

func repairCases() []repairCase {
	return []repairCase{
		{
			name: "a stage lost after it received the step", completedStages: 1,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}},
		},
		{
			name: "a stage lost after it sent the step on", completedStages: 3,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 10}, {Stage: 2, Resume: 9}},
		},
		{
			name: "the last stage lost", completedStages: 3,
			change:   func(s []saddlechain.Status) { s[3].Lost = true },
			replaced: []int{3},
			replays:  []saddlechain.Replay{{Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "two lost stages that are not neighbours", completedStages: 2,
			change:   func(s []saddlechain.Status) { s[1].Lost = true; s[3].Lost = true },
			replaced: []int{1, 3},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}, {Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "two lost neighbours without exports", completedStages: 2,
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
			name: "two lost neighbours with an export", completedStages: 2,
			change:      func(s []saddlechain.Status) { s[1].Lost = true; s[2].Lost = true },
			errorTarget: "s2",
		},
		{
			name: "an export older than the retained outputs", completedStages: 2,
			change:      func(s []saddlechain.Status) { s[2].Lost = true; s[1].RetainedFrom = 7 },
			errorTarget: "s2",
		},
		{
			name: "a step lost between two live stages", completedStages: 2,
			replays: []saddlechain.Replay{{Stage: 1, Resume: 9}},
		},
		{
			name: "a lost step that is no longer retained", completedStages: 2,
			change:      func(s []saddlechain.Status) { s[1].RetainedFrom = 10 },
			errorTarget: "s2",
		},
		{
			name: "a lost token", completedStages: 4,
			replays: []saddlechain.Replay{{Stage: 3, Resume: 9}},
		},
		{
			name: "a step queued at the next stage", completedStages: 2,
			change: func(s []saddlechain.Status) { s[2].Accepted = 10 },
		},
	}
}

func TestPlanRepair(t *testing.T) {
	for _, c := range repairCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status := chainStatus(c.completedStages)
			if c.change != nil {
				c.change(status)
			}
			plan, err := saddlechain.PlanRepair(status, currentStep, spares())
			if c.errorTarget != "" {
				var repair *saddlechain.RepairError
				is.True(errors.As(err, &repair))
				is.Equal(repair.Target, fireflysaddle.TargetID(c.errorTarget))
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
		status := chainStatus(rapid.IntRange(1, 4).Draw(t, "completed stages"))
		for i := range status {
			status[i].RetainedFrom = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "retained from"))
			status[i].ExportPositions = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "export positions"))
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
