package saddlestage

import (
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// restore opens the session of a replacement stage and ends an older session of
// the attempt. It ignores a frame of a repair that the older session already knows.
// It returns the new session if its worker must be started.
func (t *table) restore(now time.Time, f *saddlewire.Frame, accepting bool) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(f)
	old, ok := t.sessions[k]
	switch {
	case ok && f.GetRepair() <= old.repairSeq:
		return nil, nil
	case !accepting:
		return nil, refusedError("the stage accepts no new attempts")
	case f.GetIndex() == 0 || len(f.GetChain()) <= int(f.GetIndex()):
		return nil, fmt.Errorf("a chain of %d stages has no stage %d", len(f.GetChain()), f.GetIndex())
	}
	if _, ok := t.closedUntil[k]; ok {
		return nil, refusedError("the attempt is closed at this stage")
	}
	if ok {
		t.endSession(old)
	}
	s := t.open(now, f)
	if ok {
		s.predecessorEnded = old.ended
	}
	s.accepted = f.GetPosition()
	s.completed = f.GetPosition()
	s.lastExport = f.GetPosition()
	s.resumeFrom = f.GetResume()
	s.outbox.start = f.GetPosition()
	return t.enqueue(s, f), nil
}

// recordImport stores the output that came with an imported KV cache, and sends it
// if the next stage lacks it.
func (t *table) recordImport(now time.Time, s *session, f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := lastOutputOf(f); ok && !s.closed {
		s.outbox.start = o.position
		t.storeOutput(now, s, o)
	}
}

// updateChain sets the chain of the head's session after a repair.
func (t *table) updateChain(f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.sessions[keyOf(f)]; ok {
		s.adoptChain(f)
	}
}

// exportDue reports whether a session must export its KV cache now.
func (t *table) exportDue(s *session, interval uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !s.closed && s.exportDue(interval)
}

// sendExport sends the KV cache of a session to the preceding stage, unless the
// cache does not cover exactly the completed positions.
func (t *table) sendExport(s *session, kv fireflysaddle.KVCache, last stepOutput) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.lastExport = s.completed // also set for an unusable export, so that the next one is due only after the interval
	if s.closed || uint32(kv.Positions) != s.completed {
		return
	}
	countExports.Add(1)
	t.send(s.chain[s.index-1].GetAddress(), &saddlewire.Frame{
		Kind:       saddlewire.Frame_EXPORT,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   s.completed,
		Count:      last.count,
		Index:      s.index - 1,
		Activation: last.activation,
		Token:      last.token,
		Repair:     s.repairSeq,
		Cache:      kv.Data,
	})
}

// storeExport stores the KV cache export of the next stage.
func (t *table) storeExport(f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok || f.GetIndex() != s.index || f.GetRepair() < s.restoreRepairSeq {
		return
	}
	last, _ := lastOutputOf(f)
	s.outbox.putExport(export{positions: f.GetPosition(), cache: f.GetCache(), lastOutput: last}, &t.memoryBudget)
}

// replay resends, on request of the head, the outputs that the next stage has not
// received.
func (t *table) replay(now time.Time, f *saddlewire.Frame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok || f.GetRepair() <= s.replayRepairSeq || len(f.GetChain()) != len(s.chain) {
		return nil
	}
	s.replayRepairSeq = f.GetRepair()
	if f.GetRepair() > s.repairSeq {
		s.adoptChain(f)
	}
	from := f.GetResume()
	if f.GetRestore() {
		s.restoreRepairSeq = f.GetRepair()
		from = s.outbox.export.positions
	}
	outputs, ok := s.outbox.outputsFrom(from)
	if !ok {
		return fmt.Errorf("outputs from position %d on are no longer retained", from)
	}
	if f.GetRestore() {
		t.send(s.nextStage().GetAddress(), s.restoreFrame(now, f.GetResume()))
		outputs = mergeOutputs(outputs, f.GetResume())
	}
	for _, o := range outputs {
		countReplayed.Add(int64(o.count))
		t.send(s.nextStage().GetAddress(), s.outputFrame(now, o))
	}
	return nil
}

// resendLastOutputs resends the last output of each session that sends to an
// address, after the link to this address broke.
func (t *table) resendLastOutputs(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		n := len(s.outbox.outputs)
		if n == 0 || s.nextStage().GetAddress() != address {
			continue
		}
		if o := s.outbox.outputs[n-1]; o.end() > s.resumeFrom {
			t.send(address, s.outputFrame(now, o))
		}
	}
}
