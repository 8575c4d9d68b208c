package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// report is what the head learnt of one agent over a new connection.
type report struct {
	stage saddlechain.Stage
	reply *saddlewire.PingResponse // nil: it did not answer
	err   error
}

// progress is what of a report changes while a stage makes progress.
type progress struct {
	known    bool
	done     uint32
	accepted uint32
}

// ask asks agents after the attempt, all at the same time.
func (h *driver) ask(ctx context.Context, stages []saddlechain.Stage) []report {
	out := make([]report, len(stages))
	var wg sync.WaitGroup
	for i, s := range stages {
		wg.Go(func() {
			reply, err := h.r.ping(ctx, s.Address, h.k)
			out[i] = report{stage: s, reply: reply, err: err}
		})
	}
	wg.Wait()
	return out
}

// lost returns why a stage cannot go on with the attempt, empty when it can.
func (r report) lost(first bool) string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.reply.GetIncarnation() != uint64(r.stage.Incarnation):
		return "its agent was started anew"
	case !r.reply.GetTargetAlive():
		return "its target does not answer"
	case r.reply.GetFailed() != "":
		return r.reply.GetFailed()
	case !r.reply.GetKnown() && !r.reply.GetAccepting():
		return "it takes no new work"
	case !r.reply.GetKnown() && !first:
		return "it does not know the attempt"
	}
	return ""
}

// usable reports whether the attempt may begin at a spare.
func (r report) usable() bool {
	return r.err == nil && r.reply.GetTargetAlive() && r.reply.GetAccepting() &&
		r.reply.GetIncarnation() == uint64(r.stage.Incarnation)
}

// again returns the same target as its own replacement, where it could be.
func (r report) again() (saddlechain.Stage, bool) {
	s := r.stage
	if r.err != nil || !r.reply.GetTargetAlive() || !r.reply.GetAccepting() {
		return s, false
	}
	s.Incarnation = fireflysaddle.Incarnation(r.reply.GetIncarnation())
	return s, true
}

func (r report) progress() progress {
	return progress{known: r.reply.GetKnown(), done: r.reply.GetNext(), accepted: r.reply.GetAccepted()}
}

// statuses turns the reports of the later stages into the planner's input.
// suspect names a target that is in doubt even if it was replaced just now.
func (h *driver) statuses(now time.Time, reports []report, suspect string) (out []saddlechain.Status, lost bool) {
	out = append(out, h.ownStatus())
	for i, r := range reports {
		s := saddlechain.Status{
			Stage:    r.stage,
			Done:     fireflysaddle.Position(r.reply.GetNext()),
			Accepted: fireflysaddle.Position(r.reply.GetAccepted()),
			Kept:     fireflysaddle.Position(r.reply.GetKept()),
			Export:   fireflysaddle.Position(r.reply.GetExport()),
		}
		switch {
		case h.underWay(now, i+1, r) && string(r.stage.Target) != suspect:
			s.Accepted = h.need.To
		case r.lost(h.need.From == 0) != "" || h.cutOff(r):
			s.Lost = true
			lost = true
		}
		out = append(out, s)
	}
	return out, lost
}

// cutOff reports whether the stage before failed to reach a stage again and
// again, though the head can.
func (h *driver) cutOff(r report) bool { return h.missed[r.stage.Target] >= maxMissed }

// underWay reports whether a replacement may still be about to get the frame
// that makes it one.
func (h *driver) underWay(now time.Time, i int, r report) bool {
	last, ok := h.restored[i]
	return ok && r.reply.GetRepair() < last.repair && r.usable() && now.Sub(last.at) < restoreTime*h.r.cfg.ProbeInterval
}

func (h *driver) ownStatus() saddlechain.Status {
	s, _ := h.r.table.view(h.k)
	return saddlechain.Status{
		Stage:    h.chain.Head(),
		Done:     h.need.To,
		Accepted: h.need.To,
		Kept:     fireflysaddle.Position(s.outbox.from),
		Export:   fireflysaddle.Position(s.outbox.export.positions),
	}
}

// candidates returns what could take the place of the lost stages.
func (h *driver) candidates(ctx context.Context, reports []report, statuses []saddlechain.Status) []saddlechain.Stage {
	var same, failed, asked []saddlechain.Stage
	for i, r := range reports {
		if !statuses[i+1].Lost {
			continue
		}
		if again, ok := r.again(); ok && !h.cutOff(r) && r.reply.GetFailed() == "" {
			same = append(same, again)
		} else if ok && !h.cutOff(r) {
			failed = append(failed, again)
		}
		for _, s := range h.spares {
			if s.Layers == r.stage.Layers && !h.used[s.Address] {
				asked = append(asked, s)
			}
		}
	}
	out := same
	for _, r := range h.ask(ctx, asked) {
		if r.usable() {
			out = append(out, r.stage)
		}
	}
	return append(out, failed...)
}
