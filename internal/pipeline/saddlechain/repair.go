package saddlechain

import (
	"slices"

	"github.com/fireflysaddle/fireflysaddle"
)

// Repair is what makes a chain go on after a stage or a frame was lost.
type Repair struct {
	Chain    Chain    // with the replacements in place
	Replaced []int    // indices of the stages that were replaced
	Replays  []Replay // in the order of their stages
}

// Replay tells a stage to send the next one, or the head, again what it lacks.
type Replay struct {
	Stage   int                    // index of the stage that sends
	Restore bool                   // the next stage is a replacement: give it the cache and all since
	Resume  fireflysaddle.Position // first position that is due at the receiver, or behind the replacement
}

// Need is the step that a chain works on: the head ran the positions
// [From, To) and waits for the token that follows.
type Need struct {
	From fireflysaddle.Position
	To   fireflysaddle.Position
}

// PlanRepair returns what is to be done for the chain to go on with a step.
// The first status is that of the head, which is not lost. Each lost stage is
// replaced by the first spare that holds the same layers. An error is of type
// *RepairError: the attempt cannot go on.
//
// A replacement starts from the export that the stage before it holds and runs
// the positions since; stages that are not lost run nothing twice. Where the
// stage before is lost as well, its replacement must start from position 0.
func PlanRepair(stages []Status, need Need, spares []Stage) (Repair, error) {
	p := planner{stages: stages, need: need, spares: slices.Clone(spares), base: map[int]fireflysaddle.Position{}}
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
		} else if err := p.resend(i); err != nil {
			return Repair{}, err
		}
		chain = append(chain, stage)
	}
	p.resendToken()
	repaired, err := New(chain)
	if err != nil {
		return Repair{}, err
	}
	return Repair{Chain: repaired, Replaced: replaced, Replays: p.replays}, nil
}

// planner gathers the replays of one repair.
type planner struct {
	stages  []Status
	need    Need
	spares  []Stage
	base    map[int]fireflysaddle.Position // replaced stages: positions they start with
	replays []Replay
}

// replace picks the replacement of a lost stage.
func (p *planner) replace(i int) (Stage, error) {
	before := p.stages[i-1]
	base := before.Export
	if from, replaced := p.base[i-1]; replaced {
		if from > 0 {
			return Stage{}, p.fail(i, "the stage before it is lost too")
		}
		base = 0 // its first step opens this stage as it opened the lost one
	} else {
		if before.Kept > base {
			return Stage{}, p.fail(i, "the activations since its last export are no longer held")
		}
		p.replays = append(p.replays, Replay{Stage: i - 1, Restore: true, Resume: p.resume(i + 1)})
	}
	at := slices.IndexFunc(p.spares, func(s Stage) bool { return s.Layers == p.stages[i].Stage.Layers })
	if at < 0 {
		return Stage{}, p.fail(i, "no spare target holds its layers")
	}
	spare := p.spares[at]
	p.spares = slices.Delete(p.spares, at, at+1)
	p.base[i] = base
	return spare, nil
}

// resume returns the first position that is due at a stage.
func (p *planner) resume(i int) fireflysaddle.Position {
	switch {
	case i == len(p.stages):
		return p.need.From
	case p.stages[i].Lost:
		return 0
	}
	return p.stages[i].Accepted
}

// resend makes up for a frame that was lost between two stages that stand.
func (p *planner) resend(i int) error {
	before := p.stages[i-1]
	if before.Lost || p.stages[i].Accepted >= before.Done {
		return nil
	}
	if before.Kept > p.stages[i].Accepted {
		return p.fail(i, "the activation that it lacks is no longer held")
	}
	p.replays = append(p.replays, Replay{Stage: i - 1, Resume: p.stages[i].Accepted})
	return nil
}

// resendToken makes up for a token that was lost on its way to the head.
func (p *planner) resendToken() {
	last := len(p.stages) - 1
	if !p.stages[last].Lost && p.stages[last].Done >= p.need.To {
		p.replays = append(p.replays, Replay{Stage: last, Resume: p.need.From})
	}
}

func (p *planner) fail(i int, reason string) error {
	return &RepairError{Target: p.stages[i].Stage.Target, Reason: reason}
}
