package saddleagent

import (
	"fmt"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// slot holds the target beside the agent. It is safe for concurrent use.
type slot struct {
	mu        sync.Mutex
	backend   *backend
	answered  time.Time // when the target last answered
	alive     bool
	leaving   bool   // the target asked to leave
	loading   string // subject of the order that an engine carries out
	queueWait time.Duration
	targets   Adapters
}

// conflictError says why an announcement was not accepted.
type conflictError struct {
	reason string
}

func (e *conflictError) Error() string { return e.reason }

// announce takes in an announcement. The same one again changes nothing: that
// an engine announces itself does not show that it answers requests. A higher
// incarnation replaces the target; a lower one, a changed one under the same
// incarnation, and another target while this one lives are *conflictError.
func (s *slot) announce(now time.Time, a saddleannounce.Announcement) (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.backend
	defer func() {
		if err == nil {
			s.loading = a.Loading
		}
	}()
	switch {
	case old == nil:
	case old.announced.ID != a.ID && s.alive:
		return false, &conflictError{reason: fmt.Sprintf("this slot holds target %q", old.announced.ID)}
	case old.announced.ID != a.ID:
	case a.Incarnation < old.announced.Incarnation:
		return false, &conflictError{reason: fmt.Sprintf("incarnation %d is older than %d", a.Incarnation, old.announced.Incarnation)}
	case a.Incarnation == old.announced.Incarnation && !a.Equal(old.announced):
		return false, &conflictError{reason: "the announcement changed without a new incarnation"}
	case a.Incarnation == old.announced.Incarnation:
		return false, nil
	}
	if old != nil {
		old.close()
	}
	s.backend = newBackend(a, s.queueWait, s.targets)
	s.answered = now
	s.alive = true
	s.leaving = false
	return true, nil
}

// leave notes that the target wants no new work.
func (s *slot) leave(l saddleannounce.Leave) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend == nil || s.backend.announced.ID != l.ID || s.backend.announced.Incarnation != l.Incarnation {
		return &conflictError{reason: "no such target in this slot"}
	}
	s.leaving = true
	return nil
}

// probed notes whether the target answered; it reports a change of its state.
func (s *slot) probed(now time.Time, b *backend, answered bool, lost time.Duration) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend != b {
		return false
	}
	if answered {
		s.answered = now
	}
	alive := now.Sub(s.answered) < lost
	changed = alive != s.alive
	s.alive = alive
	if changed {
		b.setAlive(alive)
	}
	return changed
}

// current returns the target, nil when there is none or it is lost.
func (s *slot) current() (b *backend, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.backend == nil || !s.alive {
		return nil, s.leaving
	}
	return s.backend, s.leaving
}

// carriesOut returns the subject of the order that an engine carries out, empty
// when there is none.
func (s *slot) carriesOut() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading
}

// any returns the target even when it is lost.
func (s *slot) any() *backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}
