package saddlestage

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// table holds the sessions of an agent. It is safe for concurrent use. Its
// methods send under its lock, so that frames of one session are sent in order.
type table struct {
	ctx  context.Context
	send func(address string, f *saddlewire.Frame) // must not call the table, whose lock is held

	mu           sync.Mutex
	sessions     map[key]*session
	closedUntil  map[key]time.Time // closed attempts, and until when they cannot be opened again
	memoryBudget memoryBudget
}

func newTable(ctx context.Context, bufferBytes int64, send func(string, *saddlewire.Frame)) *table {
	return &table{
		ctx:          ctx,
		send:         send,
		sessions:     map[key]*session{},
		closedUntil:  map[key]time.Time{},
		memoryBudget: memoryBudget{available: bufferBytes},
	}
}

// open adds a session from a frame that carries the fields set by
// addSessionFields.
func (t *table) open(now time.Time, f *saddlewire.Frame) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	s := &session{
		key:               keyOf(f),
		chain:             f.GetChain(),
		index:             f.GetIndex(),
		priority:          f.GetPriority(),
		expires:           now.Add(time.Duration(f.GetBudgetMs())*time.Millisecond + sessionGracePeriod),
		lastFrameAt:       now,
		repairSeq:         f.GetRepair(),
		upstreamRepairSeq: f.GetRepair(),
		ctx:               ctx,
		cancel:            cancel,
		ended:             make(chan struct{}),
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

// acceptStep queues a step frame; a frame at position 0 opens the session. It
// returns the session if its worker must be started.
func (t *table) acceptStep(now time.Time, f *saddlewire.Frame, accepting bool) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sessions[keyOf(f)]
	if !ok {
		if err := t.checkOpen(f, accepting); err != nil {
			return nil, err
		}
		s = t.open(now, f)
	}
	s.lastFrameAt = now
	s.updateUpstreamRepair(f)
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

// checkOpen returns an error if a step frame must not open a session.
func (t *table) checkOpen(f *saddlewire.Frame, accepting bool) error {
	if _, ok := t.closedUntil[keyOf(f)]; ok {
		return refusedError("the attempt is closed at this stage")
	}
	if f.GetPosition() != 0 || f.GetIndex() == 0 || len(f.GetChain()) <= int(f.GetIndex()) {
		return &fireflysaddle.PositionError{
			Request: fireflysaddle.RequestID(f.GetRequest()),
			Got:     fireflysaddle.Position(f.GetPosition()),
		}
	}
	if !accepting {
		return refusedError("the stage accepts no new attempts")
	}
	return nil
}

func refusedError(message string) error {
	return &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving, Message: message}
}

// enqueue queues a frame for the session's worker. It returns the session if
// the worker must be started.
func (t *table) enqueue(s *session, f *saddlewire.Frame) *session {
	s.inbox = append(s.inbox, f)
	if s.running {
		return nil
	}
	s.running = true
	return s
}

// close removes a session and keeps its attempt from being opened again for
// closedAttemptTTL. It returns the session if the caller must release the
// engine's state.
func (t *table) close(now time.Time, k key) *session {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closedUntil[k] = now.Add(closedAttemptTTL)
	s, ok := t.sessions[k]
	if !ok {
		return nil
	}
	delete(t.sessions, k)
	t.endSession(s)
	if s.running {
		return nil // the worker releases the engine's state
	}
	return s
}

// endSession cancels a session, whose worker may still be running.
func (t *table) endSession(s *session) {
	s.closed = true
	s.cancel()
	s.inbox = nil
	s.outbox.clear(&t.memoryBudget)
	if !s.running {
		close(s.ended)
	}
}

// snapshot returns a copy of a session, in which running is set if it is busy.
func (t *table) snapshot(k key) (session, bool) {
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

// notClosed reports whether an attempt can be opened here. It cannot be opened for
// closedAttemptTTL after it was closed here.
func (t *table) notClosed(k key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.closedUntil[k]
	return !ok
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}
