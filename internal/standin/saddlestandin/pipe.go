package saddlestandin

import (
	"io"
	"net"
	"sync"
	"time"
)

// pipe transfers bytes in one direction with a constant delay.
type pipe struct {
	delay  time.Duration
	wake   chan struct{} // wakes the single reader when a chunk was written
	closed chan struct{}

	mu       sync.Mutex
	chunks   []chunk
	dropping bool
	isClosed bool
}

type chunk struct {
	due  time.Time // when the reader may read data
	data []byte
}

func newPipe(delay time.Duration) *pipe {
	return &pipe{delay: delay, wake: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (p *pipe) write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isClosed:
		return 0, net.ErrClosed
	case p.dropping:
		return len(data), nil
	}
	p.chunks = append(p.chunks, chunk{due: time.Now().Add(p.delay), data: append([]byte(nil), data...)})
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return len(data), nil
}

func (p *pipe) read(buf []byte) (int, error) {
	for {
		n, wait, err := p.readDue(buf)
		if n > 0 || err != nil {
			return n, err
		}
		if !p.waitReadable(wait) {
			return 0, io.EOF
		}
	}
}

// readDue reads bytes whose delay has passed. If there are none, it returns the
// time until the delay of the next bytes has passed, or 0 if no bytes are in
// transit.
func (p *pipe) readDue(buf []byte) (n int, wait time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return 0, 0, io.EOF
	}
	if len(p.chunks) == 0 {
		return 0, 0, nil
	}
	first := &p.chunks[0]
	if wait := time.Until(first.due); wait > 0 {
		return 0, wait, nil
	}
	n = copy(buf, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.chunks = p.chunks[1:]
	}
	return n, 0, nil
}

// waitReadable waits for the given time. If the time is 0, it waits until the next
// write. It returns false if the pipe was closed first.
func (p *pipe) waitReadable(wait time.Duration) bool {
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-p.closed:
			return false
		}
	}
	select {
	case <-p.wake:
		return true
	case <-p.closed:
		return false
	}
}

// dropTraffic discards the bytes in transit and all later writes.
func (p *pipe) dropTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
	p.chunks = nil
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isClosed {
		p.isClosed = true
		close(p.closed)
	}
}
