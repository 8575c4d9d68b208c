package saddlestage

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	restoreProbeIntervals = 2  // probe intervals within which a replacement must receive its first frame
	maxRepairsPerStep     = 16 // a step that needs more repairs fails the attempt
	maxUnreachableFaults  = 2  // faults that report a stage unreachable, after which it counts as lost
)

// checkProgress probes the stages because the token is overdue. It takes the token
// if the last stage reports it. If a stage is lost, it repairs the chain. If no
// stage is lost, it has missing frames resent from the second consecutive check
// without progress on, because at the first check the frames may only be delayed.
func (h *driver) checkProgress(ctx context.Context) error {
	reports := h.probeStages(ctx, h.chain.Stages()[1:])
	if ctx.Err() != nil {
		return ctx.Err()
	}
	statuses, lost := h.statuses(time.Now(), reports, "")
	if h.takeProbedToken(reports) {
		return nil
	}
	if lost {
		return h.repairChain(ctx, reports, statuses)
	}
	if h.madeProgress(reports) {
		h.stalledChecks = 0
		return nil
	}
	h.stalledChecks++
	switch {
	case h.stalledChecks == 1:
		return nil
	case h.stalledChecks > maxStalledChecks:
		return h.stalledError(statuses)
	}
	return h.repairChain(ctx, reports, statuses)
}

// takeProbedToken takes the token of the current step from the report of the last
// stage, because this stage may be unable to reach the head. It returns false if
// the report does not contain the token.
func (h *driver) takeProbedToken(reports []report) bool {
	last := reports[len(reports)-1].reply
	if !last.GetKnown() || last.GetNext() != uint32(h.step.To) || last.GetToken() == "" {
		return false
	}
	h.probedToken = last.GetToken()
	return true
}

// madeProgress reports whether a stage is busy or has made progress since the
// last check.
func (h *driver) madeProgress(reports []report) bool {
	var current []progress
	busy := false
	for _, r := range reports {
		current = append(current, r.progress())
		busy = busy || r.reply.GetBusy()
	}
	changed := !slices.Equal(current, h.lastProgress)
	h.lastProgress = current
	return busy || changed
}

// stalledError returns a *LostError for the first stage that has not completed
// the step, or for the last stage if all have.
func (h *driver) stalledError(statuses []saddlechain.Status) error {
	for _, s := range statuses[1:] {
		if s.Completed < h.step.To {
			return &LostError{Target: s.Stage.Target, Reason: "it makes no progress"}
		}
	}
	return &LostError{Target: statuses[len(statuses)-1].Stage.Target, Reason: "its token does not reach the head"}
}

// handleFault probes the stages after a fault report and repairs the chain if
// necessary.
func (h *driver) handleFault(ctx context.Context, fault *saddlewire.Frame) error {
	suspect := fault.GetFault().GetTarget()
	if fault.GetUnreachable() {
		h.unreachableFaults[fireflysaddle.TargetID(suspect)]++
	}
	reports := h.probeStages(ctx, h.chain.Stages()[1:])
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if h.takeProbedToken(reports) {
		return nil
	}
	statuses, _ := h.statuses(time.Now(), reports, suspect)
	return h.repairChain(ctx, reports, statuses)
}

// repairChain replaces the lost stages and asks other stages to resend lost frames.
func (h *driver) repairChain(ctx context.Context, reports []report, statuses []saddlechain.Status) error {
	h.stepRepairs++
	if h.stepRepairs > maxRepairsPerStep {
		return h.stalledError(statuses)
	}
	plan, err := saddlechain.PlanRepair(statuses, h.step, h.candidates(ctx, reports, statuses))
	if err != nil {
		return h.lostError(err, reports)
	}
	if len(plan.Replays) == 0 {
		return nil
	}
	h.repairSeq++
	h.applyRepair(plan)
	chain := saddlechain.ToWire(plan.Chain.Stages())
	h.r.table.updateChain(&saddlewire.Frame{Request: h.attemptKey.request, Attempt: h.attemptKey.attempt, Repair: h.repairSeq, Chain: chain})
	for _, p := range plan.Replays {
		h.send(plan.Chain.Stages()[p.Stage].Address, &saddlewire.Frame{
			Kind:    saddlewire.Frame_REPLAY,
			Index:   uint32(p.Stage),
			Chain:   chain,
			Repair:  h.repairSeq,
			Resume:  uint32(p.Resume),
			Restore: p.Restore,
		})
	}
	return nil
}

// applyRepair switches to the repaired chain and closes the attempt at each
// replaced stage whose replacement is at another agent.
func (h *driver) applyRepair(plan saddlechain.Repair) {
	now := time.Now()
	for _, i := range plan.Replaced {
		old, s := h.chain.Stages()[i], plan.Chain.Stages()[i]
		h.replacements[i] = replacement{at: now, repairSeq: h.repairSeq}
		countReplaced.Add(1)
		h.r.cfg.Timeline.Add(now, saddletimeline.Event{
			Name: "stage_replaced", Request: h.attemptKey.request, Attempt: h.attemptKey.attempt,
			Target: string(old.Target), Detail: "by " + string(s.Target),
		})
		h.participants[s.Address] = true
		if s.Address != old.Address {
			if h.onReplaced != nil {
				h.onReplaced(old.Target)
			}
			h.send(old.Address, &saddlewire.Frame{Kind: saddlewire.Frame_CLOSE})
		}
	}
	h.chain = plan.Chain
}

// lostError converts an error of saddlechain.PlanRepair into the error reported
// to the entry, and adds why the stage was lost.
func (h *driver) lostError(err error, reports []report) error {
	var repair *saddlechain.RepairError
	if !errors.As(err, &repair) {
		return &LostError{Target: h.r.cfg.Target(), Reason: err.Error()}
	}
	lost := &LostError{Target: repair.Target, Reason: repair.Reason}
	for _, r := range reports {
		if reason := r.lostReason(h.step.From == 0); r.stage.Target == repair.Target && reason != "" {
			lost.Reason = reason + "; " + repair.Reason
		}
	}
	return lost
}
