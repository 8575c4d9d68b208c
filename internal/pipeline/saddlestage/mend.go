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
	restoreTime = 2  // probe times that a replacement has to get its first frame
	maxRepairs  = 16 // of one step; one that needs more begins anew
	maxMissed   = 2  // times that a stage may be out of reach of the one before it
)

// look asks after the stages because the token is long in coming. Frames that
// may only be slow are sent again at the second look without progress.
func (h *driver) look(ctx context.Context) error {
	reports := h.ask(ctx, h.chain.Stages()[1:])
	if ctx.Err() != nil {
		return ctx.Err()
	}
	statuses, lost := h.statuses(time.Now(), reports, "")
	if h.tokenOf(reports) {
		return nil
	}
	if lost {
		return h.repairChain(ctx, reports, statuses)
	}
	if h.progressed(reports) {
		h.stalls = 0
		return nil
	}
	h.stalls++
	switch {
	case h.stalls == 1:
		return nil
	case h.stalls > maxStalls:
		return h.stalled(statuses)
	}
	return h.repairChain(ctx, reports, statuses)
}

// tokenOf takes the token from the last stage's report, where it is there: the
// last stage may not reach the head.
func (h *driver) tokenOf(reports []report) bool {
	last := reports[len(reports)-1].reply
	if !last.GetKnown() || last.GetNext() != uint32(h.need.To) || last.GetToken() == "" {
		return false
	}
	h.token = last.GetToken()
	return true
}

// progressed reports whether a stage is at work or has been since the last look.
func (h *driver) progressed(reports []report) bool {
	var now []progress
	busy := false
	for _, r := range reports {
		now = append(now, r.progress())
		busy = busy || r.reply.GetBusy()
	}
	changed := !slices.Equal(now, h.seen)
	h.seen = now
	return busy || changed
}

// stalled names the first stage that lacks the step.
func (h *driver) stalled(statuses []saddlechain.Status) error {
	for _, s := range statuses[1:] {
		if s.Done < h.need.To {
			return &LostError{Target: s.Stage.Target, Reason: "it makes no progress"}
		}
	}
	return &LostError{Target: statuses[len(statuses)-1].Stage.Target, Reason: "its token does not arrive"}
}

// mend asks after the stages because a fault puts one of them, or its link, in
// doubt.
func (h *driver) mend(ctx context.Context, fault *saddlewire.Frame) error {
	suspect := fault.GetFault().GetTarget()
	if fault.GetUnreachable() {
		h.missed[fireflysaddle.TargetID(suspect)]++
	}
	reports := h.ask(ctx, h.chain.Stages()[1:])
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if h.tokenOf(reports) {
		return nil
	}
	statuses, _ := h.statuses(time.Now(), reports, suspect)
	return h.repairChain(ctx, reports, statuses)
}

// repairChain replaces the lost stages and has lost frames sent again.
func (h *driver) repairChain(ctx context.Context, reports []report, statuses []saddlechain.Status) error {
	h.repairs++
	if h.repairs > maxRepairs {
		return h.stalled(statuses)
	}
	plan, err := saddlechain.PlanRepair(statuses, h.need, h.candidates(ctx, reports, statuses))
	if err != nil {
		return h.unrecovered(err, reports)
	}
	if len(plan.Replays) == 0 {
		return nil
	}
	h.repair++
	h.adopt(plan)
	chain := saddlechain.ToWire(plan.Chain.Stages())
	h.r.table.rechain(&saddlewire.Frame{Request: h.k.request, Attempt: h.k.attempt, Repair: h.repair, Chain: chain})
	for _, p := range plan.Replays {
		h.send(plan.Chain.Stages()[p.Stage].Address, &saddlewire.Frame{
			Kind:    saddlewire.Frame_REPLAY,
			Index:   uint32(p.Stage),
			Chain:   chain,
			Repair:  h.repair,
			Resume:  uint32(p.Resume),
			Restore: p.Restore,
		})
	}
	return nil
}

// adopt puts a repaired chain in force and lets go of the replaced stages.
func (h *driver) adopt(plan saddlechain.Repair) {
	now := time.Now()
	for _, i := range plan.Replaced {
		old, s := h.chain.Stages()[i], plan.Chain.Stages()[i]
		h.restored[i] = restoration{at: now, repair: h.repair}
		countReplaced.Add(1)
		h.r.cfg.Timeline.Add(now, saddletimeline.Event{
			Name: "stage_replaced", Request: h.k.request, Attempt: h.k.attempt,
			Target: string(old.Target), Detail: "by " + string(s.Target),
		})
		h.used[s.Address] = true
		if s.Address != old.Address {
			if h.tell != nil {
				h.tell(old.Target)
			}
			h.send(old.Address, &saddlewire.Frame{Kind: saddlewire.Frame_CLOSE})
		}
	}
	h.chain = plan.Chain
}

// unrecovered turns the planner's error into the one that the entry learns of,
// with what is wrong with the stage.
func (h *driver) unrecovered(err error, reports []report) error {
	var repair *saddlechain.RepairError
	if !errors.As(err, &repair) {
		return &LostError{Target: h.r.cfg.Target(), Reason: err.Error()}
	}
	lost := &LostError{Target: repair.Target, Reason: repair.Reason}
	for _, r := range reports {
		if why := r.lost(h.need.From == 0); r.stage.Target == repair.Target && why != "" {
			lost.Reason = why + "; " + repair.Reason
		}
	}
	return lost
}
