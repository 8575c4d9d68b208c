package saddlesubscriber

import (
	"context"
	"slices"
	"sync"
)

// followers are the goroutines that each keep in touch with one replica. It is
// safe for concurrent use.
type followers struct {
	wg sync.WaitGroup

	mu        sync.Mutex
	byAddress map[string]follower
}

// follower is one of them.
type follower struct {
	wake chan struct{} // of capacity 1: the next heartbeat must not wait
	stop func()
}

// start follows a replica unless it is followed already.
func (f *followers) start(ctx context.Context, address string, follow func(ctx context.Context, address string, wake <-chan struct{})) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.byAddress[address]; ok {
		return
	}
	if f.byAddress == nil {
		f.byAddress = map[string]follower{}
	}
	ctx, cancel := context.WithCancel(ctx)
	one := follower{wake: make(chan struct{}, 1), stop: cancel}
	f.byAddress[address] = one
	f.wg.Go(func() { follow(ctx, address, one.wake) })
}

// stopOthers stops following all replicas but these and returns those that it
// stopped.
func (f *followers) stopOthers(addresses []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stopped []string
	for address, one := range f.byAddress {
		if slices.Contains(addresses, address) {
			continue
		}
		one.stop()
		delete(f.byAddress, address)
		stopped = append(stopped, address)
	}
	return stopped
}

func (f *followers) has(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.byAddress[address]
	return ok
}

func (f *followers) wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, one := range f.byAddress {
		select {
		case one.wake <- struct{}{}:
		default:
		}
	}
}

func (f *followers) wait() { f.wg.Wait() }
