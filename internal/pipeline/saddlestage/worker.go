package saddlestage

import (
	"errors"
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var errNoEngine = errors.New("there is no engine")

// work runs the frames of one session, one at a time, until there is none. The
// engine drops a closed session's state only after its last step has ended.
func (r *Runner) work(s *session) {
	if s.before != nil {
		select {
		case <-s.before:
		case <-r.ctx.Done():
			return
		}
	}
	for {
		f, forget := r.table.next(s)
		if f == nil {
			if forget {
				r.forget(s.key)
			}
			return
		}
		if err := r.workFrame(s, f); err != nil && r.table.fail(s, err.Error()) {
			r.fault(s.key, nil, r.cfg.Target(), err.Error())
		}
	}
}

func (r *Runner) workFrame(s *session, f *saddlewire.Frame) error {
	engine := r.cfg.Engine()
	if engine == nil {
		return errNoEngine
	}
	if f.GetKind() == saddlewire.Frame_RESTORE {
		return r.runRestore(s, engine, f)
	}
	return r.runStep(s, engine, f)
}

// runRestore gives the engine the cache that a replacement starts from.
func (r *Runner) runRestore(s *session, engine fireflysaddle.Engine, f *saddlewire.Frame) error {
	id, attempt := fireflysaddle.RequestID(s.key.request), fireflysaddle.Attempt(s.key.attempt)
	if f.GetPosition() == 0 {
		return engine.Cancel(s.ctx, id, attempt)
	}
	kv := fireflysaddle.KVCache{Positions: fireflysaddle.Position(f.GetPosition()), Data: f.GetCache()}
	if err := engine.Import(s.ctx, id, attempt, kv); err != nil {
		return fmt.Errorf("import of %d positions: %w", f.GetPosition(), err)
	}
	r.table.imported(time.Now(), s, f)
	return nil
}

// runStep runs this stage's layers and hands the result on.
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
	o := outcome{position: f.GetPosition(), count: f.GetCount(), activation: result.Activation, token: result.Token}
	r.table.finish(time.Now(), s, o)
	if r.table.exportDue(s, uint32(r.cfg.ExportInterval)) {
		r.export(s, engine, o)
	}
	return nil
}

// export sends the cache to the stage before, which holds the activations that
// follow it. A failed export leaves the last one in force.
func (r *Runner) export(s *session, engine fireflysaddle.Engine, last outcome) {
	kv, err := engine.Export(s.ctx, fireflysaddle.RequestID(s.key.request), fireflysaddle.Attempt(s.key.attempt))
	if err != nil || len(kv.Data)+len(last.activation) > maxActivationBytes {
		kv = fireflysaddle.KVCache{}
	}
	r.table.sendExport(s, kv, last)
}
