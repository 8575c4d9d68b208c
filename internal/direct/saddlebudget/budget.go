package saddlebudget

import "sync"

const (
	// DefaultMemory is the memory of an entry at most sites.
	DefaultMemory = 160 * MiB
	// BaseShare is what a header, a first part of a body or an event may hold without a
	// reservation. That suffices for a header of 2 KiB in 30 lines.
	BaseShare = 16 * KiB
	// requestMemory is the part of the memory per request in progress. With 1,500 requests
	// that wait for their targets, a process holds about 62 KB for each, of which half is
	// garbage.
	requestMemory = 80 * KiB
	// growthDivisor is the fraction of the memory that answers may hold beyond their base
	// shares. Garbage and copies take as much again.
	growthDivisor = 10
	// targetDivisor is the fraction of what is free that the answers of one target may hold.
	targetDivisor = 4
)

// Budget bounds the requests in progress and the memory that the answers of all targets hold
// beyond their base shares. A target may hold a fraction of what is free, so that targets that
// send without end leave room for the answers of the others. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	maxRequests int
	requests    int
	growth      Size            // what answers may hold beyond their base shares
	used        Size            // of growth
	byTarget    map[string]Size // used, by the target's address
}

// New returns a budget for a process with an amount of memory.
func New(memory Size) *Budget {
	b := &Budget{byTarget: map[string]Size{}}
	b.SetMemory(memory)
	return b
}

// SetMemory replaces the amount of memory. Nothing that is held is taken away.
func (b *Budget) SetMemory(memory Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxRequests, b.growth = int(memory/requestMemory), memory/growthDivisor
}

// Admit counts a request in progress. ok is false if the memory does not suffice for one more;
// otherwise release ends the request.
func (b *Budget) Admit() (release func(), ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.requests >= b.maxRequests {
		countRequestsRefused.Add(1)
		return nil, false
	}
	b.requests++
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.requests--
	}), true
}

// Open returns the share of an answer of the target at an address, and a function that returns
// what the share holds.
func (b *Budget) Open(address string) (*Share, func()) {
	s := &Share{budget: b, address: address}
	return s, s.close
}

// reserve grants n more to a target, or returns a *ExhaustedError.
func (b *Budget) reserve(address string, n Size) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.byTarget[address]; held+n > (b.growth-b.used)/targetDivisor {
		countReservationsRefused.Add(1)
		return &ExhaustedError{Address: address, Wanted: n, Held: held, Free: b.growth - b.used}
	}
	b.used += n
	b.byTarget[address] += n
	gaugeReserved.Add(int64(n))
	return nil
}

// release returns n that was granted to a target.
func (b *Budget) release(address string, n Size) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.byTarget[address] -= n; b.byTarget[address] == 0 {
		delete(b.byTarget, address)
	}
	gaugeReserved.Add(-int64(n))
}
