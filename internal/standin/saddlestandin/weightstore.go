package saddlestandin

import (
	"net/http"
	"sync"

	"golang.org/x/time/rate"
)

const weightChunkBytes = 64 << 10 // bytes per write

// WeightStore is a test double of a weight store. It serves the same number of
// bytes under any name, at a limited rate that all readers share.
type WeightStore struct {
	*host
	modelBytes int
	limiter    *rate.Limiter

	mu    sync.Mutex
	reads map[string]int
}

// NewWeightStore starts a store that serves models of modelBytes bytes. The
// returned function stops it.
func NewWeightStore(address string, modelBytes int, bytesPerSecond float64) (*WeightStore, func(), error) {
	s := &WeightStore{
		modelBytes: modelBytes,
		limiter:    rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes),
		reads:      map[string]int{},
	}
	h, err := newHost(address, http.HandlerFunc(s.handle))
	if err != nil {
		return nil, nil, err
	}
	s.host = h
	go func() { _ = h.serve() }()
	return s, h.Kill, nil
}

// Reads returns the number of requests for a model.
func (s *WeightStore) Reads(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[model]
}

func (s *WeightStore) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.reads[r.URL.Path[1:]]++
	s.mu.Unlock()
	chunk := make([]byte, weightChunkBytes)
	for remaining := s.modelBytes; remaining > 0; remaining -= weightChunkBytes {
		n := min(remaining, weightChunkBytes)
		if err := s.limiter.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
	}
}
