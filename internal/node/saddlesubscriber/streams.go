package saddlesubscriber

import (
	"context"
	"slices"
	"sync"
)

// streams holds the streams to the replicas, each run by a goroutine. It is
// safe for concurrent use.
type streams struct {
	wg sync.WaitGroup

	mu        sync.Mutex
	byAddress map[string]replicaStream
}

// replicaStream controls the goroutine of one replica.
type replicaStream struct {
	wake chan struct{} // capacity 1; a value requests an immediate heartbeat
	stop func()
}

// start runs a replica's stream unless it is running already.
func (s *streams) start(ctx context.Context, address string, run func(ctx context.Context, address string, wake <-chan struct{})) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byAddress[address]; ok {
		return
	}
	if s.byAddress == nil {
		s.byAddress = map[string]replicaStream{}
	}
	ctx, cancel := context.WithCancel(ctx)
	r := replicaStream{wake: make(chan struct{}, 1), stop: cancel}
	s.byAddress[address] = r
	s.wg.Go(func() { run(ctx, address, r.wake) })
}

// stopExcept stops the streams to all replicas except those at the given
// addresses. It returns the addresses of the stopped streams.
func (s *streams) stopExcept(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stopped []string
	for address, r := range s.byAddress {
		if slices.Contains(addresses, address) {
			continue
		}
		r.stop()
		delete(s.byAddress, address)
		stopped = append(stopped, address)
	}
	return stopped
}

func (s *streams) has(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.byAddress[address]
	return ok
}

// wake requests an immediate heartbeat on every stream.
func (s *streams) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byAddress {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

func (s *streams) wait() { s.wg.Wait() }
