package saddlestandin

import (
	"io"
	"net"
	"sync"
	"time"
)

// flow carries bytes one way, each after the same delay.
type flow struct {
	delay  time.Duration
	wake   chan struct{} // of one reader
	closed chan struct{}

	mu     sync.Mutex
	chunks []chunk
	silent bool
	ended  bool
}

type chunk struct {
	due  time.Time
	data []byte
}

func newFlow(delay time.Duration) *flow {
	return &flow{delay: delay, wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (f *flow) write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.ended:
		return 0, net.ErrClosed
	case f.silent:
		return len(p), nil
	}
	f.chunks = append(f.chunks, chunk{due: time.Now().Add(f.delay), data: append([]byte(nil), p...)})
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (f *flow) read(p []byte) (int, error) {
	for {
		n, wait, err := f.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		if !f.await(wait) {
			return 0, io.EOF
		}
	}
}

// take takes what is due; else it returns how long the reader must wait, 0:
// until there is more.
func (f *flow) take(p []byte) (n int, wait time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return 0, 0, io.EOF
	}
	if len(f.chunks) == 0 {
		return 0, 0, nil
	}
	first := &f.chunks[0]
	if wait := time.Until(first.due); wait > 0 {
		return 0, wait, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		f.chunks = f.chunks[1:]
	}
	return n, 0, nil
}

func (f *flow) await(wait time.Duration) bool {
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-f.closed:
			return false
		}
	}
	select {
	case <-f.wake:
		return true
	case <-f.closed:
		return false
	}
}

// silence loses what is under way and all that follows.
func (f *flow) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = true
	f.chunks = nil
}

func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.ended {
		f.ended = true
		close(f.closed)
	}
}
