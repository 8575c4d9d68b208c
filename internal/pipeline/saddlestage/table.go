package saddlestage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// table holds the sessions of an agent. It is safe for concurrent use. Its
// methods send under its lock, so that frames of one session leave in order.
type table struct {
	ctx  context.Context
	send func(address string, f *saddlewire.Frame) // never calls back

	mu       sync.Mutex
	sessions map[key]*session
	closed   map[key]time.Time // attempts that may not begin anew, until then
	room     room
}

func newTable(ctx context.Context, bytes int64, send func(string, *saddlewire.Frame)) *table {
	return &table{
		ctx:      ctx,
		send:     send,
		sessions: map[key]*session{},
		closed:   map[key]time.Time{},
		room:     room{left: bytes},
	}
}

// open adds a session for a frame that introduces its attempt.
func (t *table) open(now time.Time, f *saddlewire.Frame) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{
		key:      keyOf(f),
		chain:    f.GetChain(),
		index:    f.GetIndex(),
		priority: f.GetPriority(),
		expires:  now.Add(time.Duration(f.GetBudgetMs())*time.Millisecond + sessionTTL),
		heard:    now,
		repair:   f.GetRepair(),
		upstream: f.GetRepair(),
		ctx:      ctx,
		cancel:   cancel,
		ended:    make(chan struct{}),
	}
	t.sessions[s.key] = s
	return s
}

// openHead adds the session of the head of a chain.
func (t *table) openHead(now time.Time, d Draft) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open(now, &saddlewire.Frame{
		Request:  d.Request,
		Attempt:  d.Attempt,
		Chain:    d.Chain,
		Priority: d.Priority,
		BudgetMs: d.Budget.Milliseconds(),
	})
}

// step takes in a step frame, opening the session at position 0. It returns
// the session whose worker must be started, if any.
func (t *table) step(now time.Time, f *saddlewire.Frame, accepting bool) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok {
		if err := t.mayOpen(f, accepting); err != nil {
			return nil, err
		}
		s = t.open(now, f)
	}
	s.heard = now
	s.learn(f)
	accepted, err := s.accept(f)
	if err != nil {
		return nil, err
	}
	if !accepted {
		countDuplicates.Add(1)
		return nil, nil
	}
	return t.enqueue(s, f), nil
}

// mayOpen returns why a step frame cannot open a session.
func (t *table) mayOpen(f *saddlewire.Frame, accepting bool) error {
	if _, ok := t.closed[keyOf(f)]; ok {
		return refusedStage("the attempt was closed here")
	}
	if f.GetPosition() != 0 || f.GetIndex() == 0 || len(f.GetChain()) <= int(f.GetIndex()) {
		return &fireflysaddle.PositionError{
			Request: fireflysaddle.RequestID(f.GetRequest()),
			Got:     fireflysaddle.Position(f.GetPosition()),
		}
	}
	if !accepting {
		return refusedStage("the stage takes no new work")
	}
	return nil
}

func refusedStage(message string) error {
	return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving, Message: message}
}

// enqueue hands a frame to the session's worker; it returns the session when
// the worker must be started.
func (t *table) enqueue(s *session, f *saddlewire.Frame) *session {
	s.inbox = append(s.inbox, f)
	if s.running {
		return nil
	}
	s.running = true
	return s
}

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

// begin notes that the head runs a step of its own; next notes its end.
func (t *table) begin(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.running = true
}

// next returns the next frame for a session's worker. Without one the worker
// ends; forget says that it must drop the engine's state first.
func (t *table) next(s *session) (f *saddlewire.Frame, forget bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.closed && s.failed == "" && len(s.inbox) > 0 {
		f = s.inbox[0]
		s.inbox[0] = nil
		s.inbox = s.inbox[1:]
		return f, false
	}
	s.running = false
	if !s.closed {
		return nil, false
	}
	close(s.ended)
	_, replaced := t.sessions[s.key]
	return nil, !replaced
}

// finish notes a step that was run and hands its outcome on.
func (t *table) finish(now time.Time, s *session, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.closed {
		return
	}
	s.done = o.end()
	s.accepted = max(s.accepted, s.done)
	t.keep(now, s, o)
}

// keep keeps an outcome and hands it on unless the receiver has it.
func (t *table) keep(now time.Time, s *session, o outcome) {
	s.outbox.add(o, &t.room)
	if s.last() {
		s.outbox.trim(o.position, &t.room) // a head waits for the last token only
	}
	if o.end() > s.resume {
		t.send(s.after().GetAddress(), s.frame(now, o))
	}
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

// fail notes that a session cannot go on; it reports whether that matters.
func (t *table) fail(s *session, reason string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.failed = reason
	return !s.closed
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

// close removes a session, so that its attempt cannot begin anew. It returns
// the session if its engine's state must be dropped by the caller.
func (t *table) close(now time.Time, k key) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed[k] = now.Add(closedTTL)
	s, ok := t.sessions[k]
	if !ok {
		return nil
	}
	delete(t.sessions, k)
	t.end(s)
	if s.running {
		return nil // its worker does
	}
	return s
}

// end ends a session whose worker may still run.
func (t *table) end(s *session) {
	s.closed = true
	s.cancel()
	s.inbox = nil
	s.outbox.clear(&t.room)
	if !s.running {
		close(s.ended)
	}
}

// view returns a copy of a session's state.
func (t *table) view(k key) (session, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok {
		return session{}, false
	}
	out := *s
	out.running = s.busy()
	return out, true
}

// mayBegin reports whether an attempt was not closed here.
func (t *table) mayBegin(k key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.closed[k]
	return !ok
}

// around returns the sessions that send frames to an address.
func (t *table) around(address string) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.after().GetAddress() == address {
			out = append(out, *s)
		}
	}
	return out
}

// quiet returns the later stages' sessions that heard nothing since a time
// and have nothing to run.
func (t *table) quiet(since time.Time) []session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []session
	for _, s := range t.sessions {
		if s.index > 0 && !s.busy() && s.heard.Before(since) {
			out = append(out, *s)
		}
	}
	return out
}

// asked notes what the head of a quiet session answered; it reports whether
// the session is an orphan.
func (t *table) asked(k key, answered, known bool) (orphan bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[k]
	if !ok || s.busy() {
		return false
	}
	if answered {
		s.misses = 0
		return !known
	}
	s.misses++
	return s.misses >= orphanProbes
}

// expired returns the sessions past their time, and forgets the closed
// attempts past theirs.
func (t *table) expired(now time.Time) []key {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, until := range t.closed {
		if now.After(until) {
			delete(t.closed, k)
		}
	}
	var out []key
	for k, s := range t.sessions {
		if now.After(s.expires) {
			out = append(out, k)
		}
	}
	return out
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}
