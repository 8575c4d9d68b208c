package saddlestandin

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

const weightChunk = 64 << 10 // bytes written at once

// WeightStore is a stand-in for the weight store: it serves any name, as many
// bytes as a model has, at a limited rate over all readers.
type WeightStore struct {
	*host
	size    int
	limiter *rate.Limiter

	mu    sync.Mutex
	reads map[string]int
}

// NewWeightStore starts a store that serves models of size bytes at a rate of
// bytes a second, and returns its clean-up.
func NewWeightStore(address string, size int, bytesPerSecond float64) (*WeightStore, func(), error) {
	s := &WeightStore{
		size:    size,
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk),
		reads:   map[string]int{},
	}
	h, err := newHost(address, http.HandlerFunc(s.handle))
	if err != nil {
		return nil, nil, err
	}
	s.host = h
	go func() { _ = h.serve() }()
	return s, h.Kill, nil
}

// Reads returns how often a model was read.
func (s *WeightStore) Reads(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[model]
}

func (s *WeightStore) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads[r.URL.Path[1:]]++
	s.mu.Unlock()
	chunk := make([]byte, weightChunk)
	for left := s.size; left > 0; left -= weightChunk {
		n := min(left, weightChunk)
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
	}
}
