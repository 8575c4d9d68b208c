package saddlegateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlefleet"
)

const (
	// firstLook is after how long without an event the head of a chain is asked:
	// an answer that is on time has begun by then.
	firstLook = 500 * time.Millisecond
	// gapLook is the same between events, a few times the usual pause and twice
	// one that is on time.
	gapLook = 400 * time.Millisecond
	// lookAgain is the time between further looks; reports are a fifth of a second
	// old.
	lookAgain = 250 * time.Millisecond
	// hardSilence is after how long an attempt ends whatever the head says: a
	// caller leaves after two seconds without an event.
	hardSilence = 1500 * time.Millisecond
	// reportTimeout bounds the question to a head.
	reportTimeout = 200 * time.Millisecond
	// reportFresh is how long an answer serves all streams of a head.
	reportFresh = 150 * time.Millisecond
)

var (
	errSilent     = errors.New("no event for too long")
	errHeadSilent = errors.New("the head of the chain does not answer")
)

// watchdog ends an attempt whose chain does not go on.
type watchdog struct {
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	head   saddlefleet.Target
	parts  int
	last   atomic.Int64 // nanoseconds since begun: of the last event
	begun  time.Time
	timer  *time.Timer
	fault  atomic.Pointer[string] // address of the engine for which the attempt ended
}

// watch begins to watch an attempt.
func (j *job) watch(ctx context.Context, cancel context.CancelCauseFunc, chain saddlefleet.Chain) *watchdog {
	w := &watchdog{job: j, ctx: ctx, cancel: cancel, head: chain.Head, parts: len(chain.Parts), begun: time.Now()}
	w.timer = time.AfterFunc(firstLook, w.look)
	return w
}

// saw notes an event.
func (w *watchdog) saw() {
	w.last.Store(int64(time.Since(w.begun)))
	w.timer.Reset(gapLook)
}

func (w *watchdog) stop() { w.timer.Stop() }

// look asks the head why there is no event, and ends the attempt if it waits for
// an engine that does not go on.
func (w *watchdog) look() {
	silent := time.Since(w.begun) - time.Duration(w.last.Load())
	if w.ctx.Err() != nil {
		return
	}
	if silent > hardSilence {
		w.cancel(errSilent)
		return
	}
	if w.parts == 0 {
		w.timer.Reset(lookAgain)
		return
	}
	report, err := w.job.inspect(w.ctx, w.head.Address)
	if w.ctx.Err() != nil {
		return
	}
	if err != nil {
		w.job.cfg.Fleet.Failed(time.Now(), w.head.Address, "does not report: "+err.Error())
		w.fault.Store(&w.head.Address)
		w.cancel(errHeadSilent)
		return
	}
	for _, s := range report.Stalled {
		if s.Request != w.job.call.ID {
			continue
		}
		w.job.cfg.Fleet.Failed(time.Now(), s.Address, "its chain stalls")
		w.fault.Store(&s.Address)
		w.cancel(fmt.Errorf("the chain waits for the engine at %s", s.Address))
		return
	}
	w.job.event(zerolog.InfoLevel).Str("head", w.head.Address).Int64("silent_ms", silent.Milliseconds()).
		Int("queued", report.Queued).Int("running", report.Running).Msg("no event, but the chain goes on")
	w.timer.Reset(lookAgain)
}

// inspection is an answer of a head that serves all who ask within a short time.
type inspection struct {
	mu     sync.Mutex
	at     time.Time
	report fireflysaddle.EngineReport
	err    error
}

// inspect asks a head for its state, once for all streams that wait there.
func (g *Gateway) inspect(ctx context.Context, address string) (fireflysaddle.EngineReport, error) {
	g.mu.Lock()
	in, ok := g.reports[address]
	if !ok {
		in = &inspection{}
		g.reports[address] = in
	}
	g.mu.Unlock()
	in.mu.Lock()
	defer in.mu.Unlock()
	if time.Since(in.at) < reportFresh {
		return in.report, in.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	countInspections.Add(1)
	in.report, in.err = g.cfg.Forwarder.Report(ctx, address)
	in.at = time.Now()
	return in.report, in.err
}
