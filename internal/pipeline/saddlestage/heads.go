package saddlestage

import (
	"sync"

	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// heads holds the frame queues of the attempts that this agent drives. It is
// safe for concurrent use.
type heads struct {
	mu     sync.Mutex
	queues map[key]chan *saddlewire.Frame
}

func newHeads() *heads {
	return &heads{queues: map[key]chan *saddlewire.Frame{}}
}

func (h *heads) open(k key) <-chan *saddlewire.Frame {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := make(chan *saddlewire.Frame, headQueueLen)
	h.queues[k] = q
	return q
}

func (h *heads) close(k key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.queues, k)
}

// deliver queues a token or fault for its head. The frame is dropped if the
// attempt is not driven here or its queue is full.
func (h *heads) deliver(f *saddlewire.Frame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	q, ok := h.queues[key{request: f.GetRequest(), attempt: f.GetAttempt()}]
	if !ok {
		return
	}
	select {
	case q <- f:
	default:
	}
}
