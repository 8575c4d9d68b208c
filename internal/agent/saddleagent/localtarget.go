package saddleagent

import (
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// localTarget is the state of the target beside the agent. It is safe for
// concurrent use.
type localTarget struct {
	mu           sync.Mutex
	backend      *backend
	lastAnswer   time.Time // time of the latest answer to a probe, or of the announcement
	alive        bool
	leaving      bool   // the target has announced its shutdown
	orderSubject string // subject of the order in progress at an engine; empty: none
	maxQueueWait time.Duration
	adapters     Adapters
}

// conflictError reports why an announcement or a shutdown notice was not accepted.
type conflictError struct {
	reason string
}

func (e *conflictError) Error() string { return e.reason }

// announce processes an announcement. changed reports whether the announcement
// set or replaced the current target. A higher incarnation of the current target replaces
// it. Another target replaces it only if the current target is not alive. A repeated
// announcement updates only the order in progress. It does not mark the target
// alive, because an engine that announces itself may still not answer requests.
// announce returns a *conflictError for a lower incarnation, for other content under
// the same incarnation, and for another target while the current target is alive.
func (t *localTarget) announce(now time.Time, a saddleannounce.Announcement) (changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.backend
	defer func() {
		if err == nil {
			t.orderSubject = a.Loading
		}
	}()
	switch {
	case old == nil:
	case old.announcement.ID != a.ID && t.alive:
		return false, &conflictError{reason: fmt.Sprintf("the agent already serves target %q", old.announcement.ID)}
	case old.announcement.ID != a.ID:
	case a.Incarnation < old.announcement.Incarnation:
		return false, &conflictError{reason: fmt.Sprintf("incarnation %d is older than the announced incarnation %d", a.Incarnation, old.announcement.Incarnation)}
	case a.Incarnation == old.announcement.Incarnation && !a.Equal(old.announcement):
		return false, &conflictError{reason: "the announcement changed without a new incarnation"}
	case a.Incarnation == old.announcement.Incarnation:
		return false, nil
	}
	if old != nil {
		old.close()
	}
	t.backend = newBackend(a, t.maxQueueWait, t.adapters)
	t.lastAnswer = now
	t.alive = true
	t.leaving = false
	return true, nil
}

// setLeaving records that the target is shutting down and accepts no new requests.
func (t *localTarget) setLeaving(l saddleannounce.Leave) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backend == nil || t.backend.announcement.ID != l.ID || t.backend.announcement.Incarnation != l.Incarnation {
		return &conflictError{reason: "the agent does not serve this incarnation of the target"}
	}
	t.leaving = true
	return nil
}

// recordProbe records the result of a probe and reports whether the target became
// lost or alive again.
func (t *localTarget) recordProbe(now time.Time, b *backend, answered bool, lostTimeout time.Duration) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backend != b {
		return false
	}
	if answered {
		t.lastAnswer = now
	}
	alive := now.Sub(t.lastAnswer) < lostTimeout
	changed = alive != t.alive
	t.alive = alive
	if changed {
		b.setAlive(alive)
	}
	return changed
}

// live returns the announced target, or nil when there is none or it is lost. leaving
// reports whether the target has announced its shutdown.
func (t *localTarget) live() (b *backend, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backend == nil || !t.alive {
		return nil, t.leaving
	}
	return t.backend, t.leaving
}

// orderInProgress returns the subject of the order in progress at the engine, or
// the empty string.
func (t *localTarget) orderInProgress() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.orderSubject
}

// announced returns the target, also when it is lost, or nil when none is
// announced.
func (t *localTarget) announced() *backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backend
}
