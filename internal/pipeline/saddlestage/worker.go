package saddlestage

import (
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var errNoEngine = errors.New("no engine available")

// runWorker runs the queued frames of one session, one at a time, until the
// queue is empty. The engine's state of a closed session is released only after
// its last step has ended.
func (r *Runner) runWorker(s *session) {
	if s.predecessorEnded != nil {
		select {
		case <-s.predecessorEnded:
		case <-r.ctx.Done():
			return
		}
	}
	for {
		f, cancelEngine := r.table.nextFrame(s)
		if f == nil {
			if cancelEngine {
				r.cancelOnEngine(s.key)
			}
			return
		}
		if err := r.runFrame(s, f); err != nil && r.table.recordFailure(s, err.Error()) {
			r.reportFault(s.key, nil, r.cfg.Target(), err.Error())
		}
	}
}

func (r *Runner) runFrame(s *session, f *saddlewire.Frame) error {
	engine := r.cfg.Engine()
	if engine == nil {
		return errNoEngine
	}
	if f.GetKind() == saddlewire.Frame_RESTORE {
		return r.runRestore(s, engine, f)
	}
	return r.runStep(s, engine, f)
}

// runRestore imports the KV cache that a replacement starts from into the engine.
// A replacement without an export starts at position 0, and the engine drops
// any earlier state of the attempt.
func (r *Runner) runRestore(s *session, engine fireflysaddle.Engine, f *saddlewire.Frame) error {
	id, attempt := fireflysaddle.RequestID(s.key.request), fireflysaddle.Attempt(s.key.attempt)
	if f.GetPosition() == 0 {
		return engine.Cancel(s.ctx, id, attempt)
	}
	kv := fireflysaddle.KVCache{Positions: fireflysaddle.Position(f.GetPosition()), Data: f.GetCache()}
	if err := engine.Import(s.ctx, id, attempt, kv); err != nil {
		return fmt.Errorf("import KV cache of %d positions: %w", f.GetPosition(), err)
	}
	r.table.recordImport(time.Now(), s, f)
	return nil
}

// runStep runs this stage's layers and sends the result.
func (r *Runner) runStep(s *session, engine fireflysaddle.Engine, f *saddlewire.Frame) error {
	countSteps.Add(1)
	result, err := engine.Step(s.ctx, fireflysaddle.Step{
		Request:    fireflysaddle.RequestID(s.key.request),
		Attempt:    fireflysaddle.Attempt(s.key.attempt),
		Priority:   fireflysaddle.Priority(s.priority),
		Position:   fireflysaddle.Position(f.GetPosition()),
		Activation: f.GetActivation(),
		Count:      f.GetCount(),
	})
	if err != nil {
		return err
	}
	if len(result.Activation) > maxActivationBytes {
		return &oversizeError{size: len(result.Activation)}
	}
	o := stepOutput{position: f.GetPosition(), count: f.GetCount(), activation: result.Activation, token: result.Token}
	r.table.completeStep(time.Now(), s, o)
	if r.table.exportDue(s, uint32(r.cfg.ExportInterval)) {
		r.exportCache(s, engine, o)
	}
	return nil
}

// exportCache sends the KV cache to the preceding stage. That stage stores the export,
// drops the activations of the positions that the export covers, and retains those of
// the positions after it. If the export fails, the previous
// export stays valid.
func (r *Runner) exportCache(s *session, engine fireflysaddle.Engine, last stepOutput) {
	kv, err := engine.Export(s.ctx, fireflysaddle.RequestID(s.key.request), fireflysaddle.Attempt(s.key.attempt))
	if err != nil || len(kv.Data)+len(last.activation) > maxActivationBytes {
		kv = fireflysaddle.KVCache{}
	}
	r.table.sendExport(s, kv, last)
}
