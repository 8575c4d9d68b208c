package saddlebudget

import "sync"

// reserveStep is the least that is reserved at once, so that growth by single bytes takes no
// lock of the budget.
const reserveStep = 4 * KiB

// Share is what one answer holds. It is safe for concurrent use.
type Share struct {
	budget  *Budget
	address string

	mu       sync.Mutex
	held     Size
	reserved Size // of the budget; covers what is held beyond BaseShare
}

// Grow adds n to what the answer holds. An error is a *ExhaustedError, and nothing is added.
func (s *Share) Grow(n Size) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if need := s.held + n - BaseShare - s.reserved; need > 0 {
		need = max(need, reserveStep)
		if err := s.budget.reserve(s.address, need); err != nil {
			return err
		}
		s.reserved += need
	}
	s.held += n
	return nil
}

// close returns what the share holds. Closing it again has no effect.
func (s *Share) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved > 0 {
		s.budget.release(s.address, s.reserved)
	}
	s.held, s.reserved = 0, 0
}
