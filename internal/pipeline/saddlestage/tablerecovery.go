package saddlestage

import (
	"fmt"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// restore opens a session for a replacement, in place of an older one.
func (t *table) restore(now time.Time, f *saddlewire.Frame, accepting bool) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(f)
	old, ok := t.sessions[k]
	switch {
	case ok && f.GetRepair() <= old.repair:
		return nil, nil
	case !accepting:
		return nil, refusedStage("the stage takes no new work")
	case f.GetIndex() == 0 || len(f.GetChain()) <= int(f.GetIndex()):
		return nil, fmt.Errorf("a chain of %d stages has no stage %d", len(f.GetChain()), f.GetIndex())
	}
	if _, ok := t.closed[k]; ok {
		return nil, refusedStage("the attempt was closed here")
	}
	if ok {
		t.end(old)
	}
	s := t.open(now, f)
	if ok {
		s.before = old.ended
	}
	s.accepted = f.GetPosition()
	s.done = f.GetPosition()
	s.exported = f.GetPosition()
	s.resume = f.GetResume()
	s.outbox.from = f.GetPosition()
	return t.enqueue(s, f), nil
}

// imported notes that a replacement holds the cache that it was given.
func (t *table) imported(now time.Time, s *session, f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := lastOf(f); ok && !s.closed {
		s.outbox.from = o.position
		t.keep(now, s, o)
	}
}

// rechain gives the head's session the chain after a repair.
func (t *table) rechain(f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.sessions[keyOf(f)]; ok {
		s.adopt(f)
	}
}

// exportDue reports whether a session is to export its cache now.
func (t *table) exportDue(s *session, every uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !s.closed && s.dueForExport(every)
}

// sendExport sends the cache of a session to the stage before.
func (t *table) sendExport(s *session, kv fireflysaddle.KVCache, last outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.exported = s.done // also when it is of no use: the next one is due later
	if s.closed || uint32(kv.Positions) != s.done {
		return
	}
	countExports.Add(1)
	t.send(s.chain[s.index-1].GetAddress(), &saddlewire.Frame{
		Kind:       saddlewire.Frame_EXPORT,
		Request:    s.key.request,
		Attempt:    s.key.attempt,
		Position:   s.done,
		Count:      last.count,
		Index:      s.index - 1,
		Activation: last.activation,
		Token:      last.token,
		Repair:     s.repair,
		Cache:      kv.Data,
	})
}

// takeExport keeps the cache of the next stage.
func (t *table) takeExport(f *saddlewire.Frame) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok || f.GetIndex() != s.index || f.GetRepair() < s.restored {
		return
	}
	last, _ := lastOf(f)
	s.outbox.put(export{positions: f.GetPosition(), cache: f.GetCache(), last: last}, &t.room)
}

// replay sends the next stage again what it lacks, as the head asked.
func (t *table) replay(now time.Time, f *saddlewire.Frame) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok || f.GetRepair() <= s.commanded || len(f.GetChain()) != len(s.chain) {
		return nil
	}
	s.commanded = f.GetRepair()
	if f.GetRepair() > s.repair {
		s.adopt(f)
	}
	from := f.GetResume()
	if f.GetRestore() {
		s.restored = f.GetRepair()
		from = s.outbox.export.positions
	}
	outcomes, ok := s.outbox.since(from)
	if !ok {
		return fmt.Errorf("the outcomes from position %d on are no longer held", from)
	}
	if f.GetRestore() {
		t.send(s.after().GetAddress(), s.restoreFrame(now, f.GetResume()))
		outcomes = merge(outcomes, f.GetResume())
	}
	for _, o := range outcomes {
		countReplayed.Add(int64(o.count))
		t.send(s.after().GetAddress(), s.frame(now, o))
	}
	return nil
}

// resendLast sends the last outcome of each session to an address again, after
// the link to it broke.
func (t *table) resendLast(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		n := len(s.outbox.outcomes)
		if n == 0 || s.after().GetAddress() != address {
			continue
		}
		if o := s.outbox.outcomes[n-1]; o.end() > s.resume {
			t.send(address, s.frame(now, o))
		}
	}
}
