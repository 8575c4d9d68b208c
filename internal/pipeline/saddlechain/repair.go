package saddlechain

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// Repair holds the changes with which a chain continues after the loss of a stage
// or a frame.
type Repair struct {
	Chain    Chain    // repaired chain
	Replaced []int    // indices of the replaced stages
	Replays  []Replay // in the order of their stages
}

// Replay instructs a stage to resend the outputs that the next stage has not
// received, or the token that the head has not received.
type Replay struct {
	Stage   int  // index of the sending stage
	Restore bool // the next stage is a replacement and needs the export and all outputs after it
	// Resume is the first position whose output the next stage, or the head, has not received.
	// With Restore, it is the first position whose output the stage after the
	// replacement has not received. The replacement does not send its earlier outputs.
	Resume fireflysaddle.Position
}

// StepRange is the range of positions [From, To) of the step in progress. The
// head has run them and waits for the token that follows.
type StepRange struct {
	From fireflysaddle.Position
	To   fireflysaddle.Position
}

// PlanRepair returns the repair with which a chain can continue the step in
// progress. The first status is that of the head, which must not be lost. Each
// lost stage is replaced by the first spare that holds the same layers. A
// *RepairError means that the attempt cannot continue.
//
// A replacement starts from the export that the preceding stage holds and runs
// the positions after the export. Stages that are not lost run no position twice.
// If the preceding stage is lost as well, the export is lost with it. The chain can
// then be repaired only if the replacement of the preceding stage starts from
// position 0.
func PlanRepair(stages []Status, step StepRange, spares []Stage) (Repair, error) {
	p := planner{stages: stages, step: step, spares: slices.Clone(spares), startPositions: map[int]fireflysaddle.Position{}}
	chain := []Stage{stages[0].Stage}
	var replaced []int
	for i := 1; i < len(stages); i++ {
		stage := stages[i].Stage
		if stages[i].Lost {
			spare, err := p.replace(i)
			if err != nil {
				return Repair{}, err
			}
			stage = spare
			replaced = append(replaced, i)
		} else if err := p.replayMissingOutput(i); err != nil {
			return Repair{}, err
		}
		chain = append(chain, stage)
	}
	p.replayToken()
	repaired, err := New(chain)
	if err != nil {
		return Repair{}, err
	}
	return Repair{Chain: repaired, Replaced: replaced, Replays: p.replays}, nil
}

// planner holds the state of one call of PlanRepair.
type planner struct {
	stages         []Status
	step           StepRange
	spares         []Stage
	startPositions map[int]fireflysaddle.Position // positions at which the replacements start, by index of the replaced stage
	replays        []Replay
}

// replace chooses the replacement of a lost stage and adds the replay that
// restores it.
func (p *planner) replace(i int) (Stage, error) {
	preceding := p.stages[i-1]
	start := preceding.ExportPositions
	if previousStart, replaced := p.startPositions[i-1]; replaced {
		if previousStart > 0 {
			return Stage{}, p.repairError(i, "the preceding stage is lost too")
		}
		start = 0 // the output for position 0 of the preceding replacement opens the session of this replacement
	} else {
		if preceding.RetainedFrom > start {
			return Stage{}, p.repairError(i, "the activations since its last export are no longer retained")
		}
		p.replays = append(p.replays, Replay{Stage: i - 1, Restore: true, Resume: p.resumePosition(i + 1)})
	}
	index := slices.IndexFunc(p.spares, func(s Stage) bool { return s.Layers == p.stages[i].Stage.Layers })
	if index < 0 {
		return Stage{}, p.repairError(i, "no spare target holds its layers")
	}
	spare := p.spares[index]
	p.spares = slices.Delete(p.spares, index, index+1)
	p.startPositions[i] = start
	return spare, nil
}

// resumePosition returns the first position that the stage with the given index
// has not received. The index len(p.stages) denotes the head, which waits for the token of the
// current step.
func (p *planner) resumePosition(i int) fireflysaddle.Position {
	switch {
	case i == len(p.stages):
		return p.step.From
	case p.stages[i].Lost:
		return 0
	}
	return p.stages[i].Accepted
}

// replayMissingOutput adds a replay if a stage that is not lost lacks outputs that
// the preceding stage has sent. If the preceding stage is lost, it adds none,
// because the replay that restores the replacement covers these outputs.
func (p *planner) replayMissingOutput(i int) error {
	preceding := p.stages[i-1]
	if preceding.Lost || p.stages[i].Accepted >= preceding.Completed {
		return nil
	}
	if preceding.RetainedFrom > p.stages[i].Accepted {
		return p.repairError(i, "its missing input activation is no longer retained")
	}
	p.replays = append(p.replays, Replay{Stage: i - 1, Resume: p.stages[i].Accepted})
	return nil
}

// replayToken adds a replay of the token if the last stage has completed the step.
func (p *planner) replayToken() {
	last := len(p.stages) - 1
	if !p.stages[last].Lost && p.stages[last].Completed >= p.step.To {
		p.replays = append(p.replays, Replay{Stage: last, Resume: p.step.From})
	}
}

func (p *planner) repairError(i int, reason string) error {
	return &RepairError{Target: p.stages[i].Stage.Target, Reason: reason}
}
