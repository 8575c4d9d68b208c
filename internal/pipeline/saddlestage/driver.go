package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// driver drives one attempt from the head of its chain. It is not safe for
// concurrent use.
type driver struct {
	r            *Runner
	attemptKey   key
	session      *session
	queue        <-chan *saddlewire.Frame
	chain        saddlechain.Chain
	spares       []saddlechain.Stage
	participants map[string]bool // addresses of all agents after the head that are or were part of the chain
	onReplaced   func(fireflysaddle.TargetID)
	step         saddlechain.StepRange

	repairSeq         uint32                         // number of the latest repair
	stepRepairs       int                            // repairs during the current step
	replacements      map[int]replacement            // stages replaced during the current step, by index
	unreachableFaults map[fireflysaddle.TargetID]int // faults in the current step that report the target unreachable from the preceding stage, by target
	probedToken       string                         // token of the current step, if a probe returned it
	stalledChecks     int                            // consecutive checks without progress
	lastProgress      []progress
}

// replacement records when, and by which repair, a stage was replaced.
type replacement struct {
	at        time.Time
	repairSeq uint32
}

// newDriver checks the chain and opens the head's session. The error is a
// *saddlechain.CoverError.
func newDriver(r *Runner, d Draft) (*driver, error) {
	chain, err := saddlechain.New(saddlechain.FromWire(d.Chain))
	if err != nil {
		return nil, err
	}
	h := &driver{
		chain:             chain,
		spares:            saddlechain.FromWire(d.Spares),
		r:                 r,
		attemptKey:        key{request: d.Request, attempt: d.Attempt},
		participants:      map[string]bool{},
		onReplaced:        d.OnReplaced,
		replacements:      map[int]replacement{},
		unreachableFaults: map[fireflysaddle.TargetID]int{},
	}
	h.queue = r.heads.open(h.attemptKey)
	h.session = r.table.openHead(time.Now(), d)
	for _, s := range d.Chain[1:] {
		h.participants[s.GetAddress()] = true
	}
	return h, nil
}

// close tells every agent that was part of the chain to drop the attempt,
// including the agents after a lost stage.
func (h *driver) close() {
	h.r.heads.close(h.attemptKey)
	for address := range h.participants {
		h.send(address, &saddlewire.Frame{Kind: saddlewire.Frame_CLOSE})
	}
	h.r.dropSession(time.Now(), h.attemptKey)
}

func (h *driver) send(address string, f *saddlewire.Frame) {
	f.Request = h.attemptKey.request
	f.Attempt = h.attemptKey.attempt
	h.r.send(address, f)
}

// runHeadStep runs the head's own layers and sends the activation to the next
// stage.
func (h *driver) runHeadStep(ctx context.Context, step fireflysaddle.Step) (count uint32, err error) {
	result, err := h.runHeadEngine(ctx, step)
	if err != nil {
		return 0, err
	}
	if len(result.Activation) > maxActivationBytes {
		return 0, &LostError{Target: h.r.cfg.Target(), Reason: (&oversizeError{size: len(result.Activation)}).Error()}
	}
	h.step = saddlechain.StepRange{From: step.Position, To: step.Position + fireflysaddle.Position(result.Count)}
	h.stepRepairs = 0
	h.stalledChecks = 0
	h.probedToken = ""
	h.lastProgress = nil
	clear(h.replacements)
	clear(h.unreachableFaults)
	h.r.table.completeStep(time.Now(), h.session, stepOutput{
		position:   uint32(step.Position),
		count:      result.Count,
		activation: result.Activation,
	})
	return result.Count, nil
}

// runHeadEngine runs a step on the head's own engine. It returns a *LostError
// if the engine fails or is lost during the step.
func (h *driver) runHeadEngine(ctx context.Context, step fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	engine := h.r.cfg.Engine()
	if engine == nil {
		return fireflysaddle.StepResult{}, &LostError{Target: h.r.cfg.Target(), Reason: errNoEngine.Error()}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	countSteps.Add(1)
	type answer struct {
		result fireflysaddle.StepResult
		err    error
	}
	done := make(chan answer, 1)
	h.r.table.beginHeadStep(h.session)
	h.r.spawn(func() {
		result, err := engine.Step(ctx, step)
		if _, cancelEngine := h.r.table.nextFrame(h.session); cancelEngine {
			h.r.cancelOnEngine(h.attemptKey)
		}
		done <- answer{result: result, err: err}
	})
	tick := time.NewTicker(h.r.cfg.ProbeInterval)
	defer tick.Stop()
	for {
		select {
		case a := <-done:
			if ctx.Err() != nil {
				return a.result, ctx.Err()
			}
			if a.err != nil {
				return a.result, &LostError{Target: h.r.cfg.Target(), Reason: a.err.Error()}
			}
			return a.result, nil
		case <-ctx.Done():
			return fireflysaddle.StepResult{}, ctx.Err()
		case <-h.r.ctx.Done():
			return fireflysaddle.StepResult{}, h.r.ctx.Err()
		case <-tick.C:
			if h.r.cfg.Engine() == nil {
				return fireflysaddle.StepResult{}, &LostError{Target: h.r.cfg.Target(), Reason: errNoEngine.Error()}
			}
		}
	}
}

// awaitToken waits for the token from the last stage. The head probes all stages
// at each probe interval without the token, and whenever a stage reports a fault.
func (h *driver) awaitToken(ctx context.Context) (string, error) {
	tick := time.NewTicker(h.r.cfg.ProbeInterval)
	defer tick.Stop()
	for h.probedToken == "" {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case f := <-h.queue:
			if f.GetKind() == saddlewire.Frame_FAULT {
				if err := h.handleFault(ctx, f); err != nil {
					return "", err
				}
				continue
			}
			if f.GetPosition()+f.GetCount() == uint32(h.step.To) {
				return f.GetToken(), nil
			}
			countDuplicates.Add(1)
		case <-tick.C:
			if err := h.checkProgress(ctx); err != nil {
				return "", err
			}
		}
	}
	return h.probedToken, nil
}
