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

// The step in progress covers position 9; exports of the first 6 positions are
// held, and all outcomes since.
var need = saddlechain.Need{From: 9, To: 10}

// standing returns a chain of four whose first n stages ran the step.
func standing(n int) []saddlechain.Status {
	out := make([]saddlechain.Status, 4)
	for i := range out {
		done := need.From
		if i < n {
			done = need.To
		}
		out[i] = saddlechain.Status{
			Stage: stage(fmt.Sprintf("s%d", i), i, i+1, 4),
			Done:  done, Accepted: done, Kept: 6, Export: 6,
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
	name     string
	ran      int // stages that ran the step
	change   func([]saddlechain.Status)
	replaced []int
	replays  []saddlechain.Replay
	lost     string // target of the error
}

func repairCases() []repairCase {
	return []repairCase{
		{
			name: "a stage that had the step before it died", ran: 1,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}},
		},
		{
			name: "a stage that handed the step on", ran: 3,
			change:   func(s []saddlechain.Status) { s[1].Lost = true },
			replaced: []int{1},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 10}, {Stage: 2, Resume: 9}},
		},
		{
			name: "the last stage", ran: 3,
			change:   func(s []saddlechain.Status) { s[3].Lost = true },
			replaced: []int{3},
			replays:  []saddlechain.Replay{{Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "two that are not neighbours", ran: 2,
			change:   func(s []saddlechain.Status) { s[1].Lost = true; s[3].Lost = true },
			replaced: []int{1, 3},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 9}, {Stage: 2, Restore: true, Resume: 9}},
		},
		{
			name: "neighbours without exports", ran: 2,
			change: func(s []saddlechain.Status) {
				for i := range s {
					s[i].Kept, s[i].Export = 0, 0
				}
				s[1].Lost, s[2].Lost = true, true
			},
			replaced: []int{1, 2},
			replays:  []saddlechain.Replay{{Stage: 0, Restore: true, Resume: 0}},
		},
		{
			name: "neighbours with an export", ran: 2,
			change: func(s []saddlechain.Status) { s[1].Lost = true; s[2].Lost = true },
			lost:   "s2",
		},
		{
			name: "an export that is too old", ran: 2,
			change: func(s []saddlechain.Status) { s[2].Lost = true; s[1].Kept = 7 },
			lost:   "s2",
		},
		{
			name: "a step lost between two that live", ran: 2,
			replays: []saddlechain.Replay{{Stage: 1, Resume: 9}},
		},
		{
			name: "a step lost that is no longer held", ran: 2,
			change: func(s []saddlechain.Status) { s[1].Kept = 10 },
			lost:   "s2",
		},
		{
			name: "a token lost", ran: 4,
			replays: []saddlechain.Replay{{Stage: 3, Resume: 9}},
		},
		{
			name: "a step that waits at its stage", ran: 2,
			change: func(s []saddlechain.Status) { s[2].Accepted = 10 },
		},
	}
}

func TestPlanRepair(t *testing.T) {
	for _, c := range repairCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status := standing(c.ran)
			if c.change != nil {
				c.change(status)
			}
			plan, err := saddlechain.PlanRepair(status, need, spares())
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

func TestPlanRepairNeedsASpareWithTheSameLayers(t *testing.T) {
	is := is.New(t)
	status := standing(2)
	status[2].Lost = true
	_, err := saddlechain.PlanRepair(status, need, []saddlechain.Stage{stage("x", 2, 4, 4), stage("y", 1, 2, 4)})
	var repair *saddlechain.RepairError
	is.True(errors.As(err, &repair))
}

// Whatever is lost: a repaired chain covers the model, keeps the stages that
// live, and asks no stage for what it no longer holds.
func TestPlanRepairKeepsWhatLives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		status := standing(rapid.IntRange(1, 4).Draw(t, "ran"))
		for i := range status {
			status[i].Kept = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "kept"))
			status[i].Export = fireflysaddle.Position(rapid.IntRange(0, 10).Draw(t, "export"))
			status[i].Lost = i > 0 && rapid.Bool().Draw(t, "lost")
		}
		offered := slices.DeleteFunc(spares(), func(saddlechain.Stage) bool {
			return rapid.IntRange(0, 4).Draw(t, "missing") == 0
		})
		plan, err := saddlechain.PlanRepair(status, need, offered)
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
				from = sender.Export
			}
			if sender.Lost || p.Stage+1 < len(status) && sender.Kept > from {
				t.Fatalf("stage %d is asked for position %d: %+v", p.Stage, from, sender)
			}
		}
	})
}
