package saddlestage

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/pipeline/saddlechain"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// driver drives one attempt from the head of its chain. It is used by one
// goroutine.
type driver struct {
	r       *Runner
	k       key
	session *session
	queue   <-chan *saddlewire.Frame
	chain   saddlechain.Chain
	spares  []saddlechain.Stage
	used    map[string]bool // addresses of all agents that were part of the chain
	tell    func(fireflysaddle.TargetID)
	need    saddlechain.Need

	repair   uint32                         // number of repairs
	repairs  int                            // of the present step
	restored map[int]restoration            // replaced stages of the present step
	missed   map[fireflysaddle.TargetID]int // times that the stage before could not reach a target, this step
	token    string                         // of this step, as a look found it
	stalls   int                            // looks in a row that showed no progress
	seen     []progress
}

// restoration says when, and by which repair, a stage was replaced.
type restoration struct {
	at     time.Time
	repair uint32
}

// newDriver checks the chain; an error is a *saddlechain.CoverError.
func newDriver(r *Runner, d Draft) (*driver, error) {
	chain, err := saddlechain.New(saddlechain.FromWire(d.Chain))
	if err != nil {
		return nil, err
	}
	h := &driver{
		chain:    chain,
		spares:   saddlechain.FromWire(d.Spares),
		r:        r,
		k:        key{request: d.Request, attempt: d.Attempt},
		used:     map[string]bool{},
		tell:     d.OnReplaced,
		restored: map[int]restoration{},
		missed:   map[fireflysaddle.TargetID]int{},
	}
	h.queue = r.heads.open(h.k)
	h.session = r.table.openHead(time.Now(), d)
	for _, s := range d.Chain[1:] {
		h.used[s.GetAddress()] = true
	}
	return h, nil
}

// close tells every agent that was part of the chain to drop the attempt, also
// those behind a lost one.
func (h *driver) close() {
	h.r.heads.close(h.k)
	for address := range h.used {
		h.send(address, &saddlewire.Frame{Kind: saddlewire.Frame_CLOSE})
	}
	h.r.drop(time.Now(), h.k)
}

func (h *driver) send(address string, f *saddlewire.Frame) {
	f.Request = h.k.request
	f.Attempt = h.k.attempt
	h.r.send(address, f)
}

// headStep runs the head's own layers and sends the activation on.
func (h *driver) headStep(ctx context.Context, step fireflysaddle.Step) (count uint32, err error) {
	result, err := h.runHead(ctx, step)
	if err != nil {
		return 0, err
	}
	if len(result.Activation) > maxActivationBytes {
		return 0, &LostError{Target: h.r.cfg.Target(), Reason: (&oversizeError{size: len(result.Activation)}).Error()}
	}
	h.need = saddlechain.Need{From: step.Position, To: step.Position + fireflysaddle.Position(result.Count)}
	h.repairs = 0
	h.stalls = 0
	h.token = ""
	h.seen = nil
	clear(h.restored)
	clear(h.missed)
	h.r.table.finish(time.Now(), h.session, outcome{
		position:   uint32(step.Position),
		count:      result.Count,
		activation: result.Activation,
	})
	return result.Count, nil
}

// runHead runs a step on the head's own engine, which may be lost meanwhile.
func (h *driver) runHead(ctx context.Context, step fireflysaddle.Step) (fireflysaddle.StepResult, error) {
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
	h.r.table.begin(h.session)
	h.r.spawn(func() {
		result, err := engine.Step(ctx, step)
		if _, forget := h.r.table.next(h.session); forget {
			h.r.forget(h.k)
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

// awaitToken waits for the last stage's token. When it is long in coming, and
// when a stage reports a fault, the head asks after each stage.
func (h *driver) awaitToken(ctx context.Context) (string, error) {
	tick := time.NewTicker(h.r.cfg.ProbeInterval)
	defer tick.Stop()
	for h.token == "" {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case f := <-h.queue:
			if f.GetKind() == saddlewire.Frame_FAULT {
				if err := h.mend(ctx, f); err != nil {
					return "", err
				}
				continue
			}
			if f.GetPosition()+f.GetCount() == uint32(h.need.To) {
				return f.GetToken(), nil
			}
			countDuplicates.Add(1)
		case <-tick.C:
			if err := h.look(ctx); err != nil {
				return "", err
			}
		}
	}
	return h.token, nil
}
