package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// report is the result of the head's probe of one stage.
type report struct {
	stage saddlechain.Stage
	reply *saddlewire.PingResponse // nil if the agent did not answer
	err   error
}

// progress holds the fields of a report that change when a stage makes progress.
type progress struct {
	known     bool
	completed uint32
	accepted  uint32
}

// probeStages requests the state of the attempt from all given stages
// concurrently.
func (h *driver) probeStages(ctx context.Context, stages []saddlechain.Stage) []report {
	out := make([]report, len(stages))
	var wg sync.WaitGroup
	for i, s := range stages {
		wg.Go(func() {
			reply, err := h.r.ping(ctx, s.Address, h.attemptKey)
			out[i] = report{stage: s, reply: reply, err: err}
		})
	}
	wg.Wait()
	return out
}

// lostReason returns why a stage cannot continue the attempt, or "" if it can.
// firstStep tells whether the current step starts at position 0. A stage that has
// not yet received this step does not know the attempt, but is not lost.
func (r report) lostReason(firstStep bool) string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.reply.GetIncarnation() != uint64(r.stage.Incarnation):
		return "its agent has restarted"
	case !r.reply.GetTargetAlive():
		return "its target does not respond"
	case r.reply.GetFailed() != "":
		return r.reply.GetFailed()
	case !r.reply.GetKnown() && !r.reply.GetAccepting():
		return "it accepts no new attempts"
	case !r.reply.GetKnown() && !firstStep:
		return "it does not know the attempt"
	}
	return ""
}

// usable reports whether the attempt may start at a spare.
func (r report) usable() bool {
	return r.err == nil && r.reply.GetTargetAlive() && r.reply.GetAccepting() &&
		r.reply.GetIncarnation() == uint64(r.stage.Incarnation)
}

// asReplacement returns the same target with its current incarnation, as its own
// replacement. The second result is false if it cannot run the attempt.
func (r report) asReplacement() (saddlechain.Stage, bool) {
	s := r.stage
	if r.err != nil || !r.reply.GetTargetAlive() || !r.reply.GetAccepting() {
		return s, false
	}
	s.Incarnation = fireflysaddle.Incarnation(r.reply.GetIncarnation())
	return s, true
}

func (r report) progress() progress {
	return progress{known: r.reply.GetKnown(), completed: r.reply.GetNext(), accepted: r.reply.GetAccepted()}
}

// statuses converts the reports of the stages after the head into the input of
// saddlechain.PlanRepair. A replacement that may not have received its first frame
// yet does not count as lost, and is assumed to have accepted the current step.
// suspect is the target that a fault report names, or empty. This exemption does
// not apply to it. lost reports whether any of the stages is lost.
func (h *driver) statuses(now time.Time, reports []report, suspect string) (out []saddlechain.Status, lost bool) {
	out = append(out, h.headStatus())
	for i, r := range reports {
		s := saddlechain.Status{
			Stage:           r.stage,
			Completed:       fireflysaddle.Position(r.reply.GetNext()),
			Accepted:        fireflysaddle.Position(r.reply.GetAccepted()),
			RetainedFrom:    fireflysaddle.Position(r.reply.GetKept()),
			ExportPositions: fireflysaddle.Position(r.reply.GetExport()),
		}
		switch {
		case h.replacementPending(now, i+1, r) && string(r.stage.Target) != suspect:
			s.Accepted = h.step.To
		case r.lostReason(h.step.From == 0) != "" || h.unreachable(r):
			s.Lost = true
			lost = true
		}
		out = append(out, s)
	}
	return out, lost
}

// unreachable reports whether the preceding stage has failed to reach a stage at
// least maxUnreachableFaults times in the current step. The head may still be able
// to reach this stage.
func (h *driver) unreachable(r report) bool {
	return h.unreachableFaults[r.stage.Target] >= maxUnreachableFaults
}

// replacementPending reports whether the first frame sent to the replacement at a
// chain index may still be in transit.
func (h *driver) replacementPending(now time.Time, index int, r report) bool {
	last, ok := h.replacements[index]
	return ok && r.reply.GetRepair() < last.repairSeq && r.usable() && now.Sub(last.at) < restoreProbeIntervals*h.r.cfg.ProbeInterval
}

func (h *driver) headStatus() saddlechain.Status {
	s, _ := h.r.table.snapshot(h.attemptKey)
	return saddlechain.Status{
		Stage:           h.chain.Head(),
		Completed:       h.step.To,
		Accepted:        h.step.To,
		RetainedFrom:    fireflysaddle.Position(s.outbox.start),
		ExportPositions: fireflysaddle.Position(s.outbox.export.positions),
	}
}

// candidates returns the possible replacements of the lost stages, best first.
// First come the targets of lost stages that can run the attempt again and have not
// reported a failure, then the usable spares. Targets of lost stages that can run
// the attempt again, but have reported a failure, come last.
func (h *driver) candidates(ctx context.Context, reports []report, statuses []saddlechain.Status) []saddlechain.Stage {
	var reusable, failed, spares []saddlechain.Stage
	for i, r := range reports {
		if !statuses[i+1].Lost {
			continue
		}
		if replacement, ok := r.asReplacement(); ok && !h.unreachable(r) && r.reply.GetFailed() == "" {
			reusable = append(reusable, replacement)
		} else if ok && !h.unreachable(r) {
			failed = append(failed, replacement)
		}
		for _, s := range h.spares {
			if s.Layers == r.stage.Layers && !h.participants[s.Address] {
				spares = append(spares, s)
			}
		}
	}
	out := reusable
	for _, r := range h.probeStages(ctx, spares) {
		if r.usable() {
			out = append(out, r.stage)
		}
	}
	return append(out, failed...)
}
