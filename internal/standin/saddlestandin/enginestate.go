package saddlestandin

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
)

// engineState is the part of an engine's announcement that orders change. It is
// safe for concurrent use.
type engineState struct {
	mu            sync.Mutex
	model         string
	version       string
	role          string
	adapters      []string
	incarnation   uint64
	startedOrders []string // subjects of all orders whose execution started
	loading       string   // subject of the order that is being executed; empty: none
}

func newEngineState(cfg EngineConfig) *engineState {
	return &engineState{model: cfg.Model, version: cfg.Version, incarnation: cfg.Incarnation}
}

// startOrder records that the execution of an order has started.
func (s *engineState) startOrder(subject string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startedOrders = append(s.startedOrders, subject)
	s.loading = subject
}

// apply puts an order into effect and increments the incarnation.
func (s *engineState) apply(o saddleengine.OrderRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Action {
	case "load":
		s.model = o.Subject
	case "version":
		s.version = o.Subject
	case "role":
		s.role = o.Subject
	case "adapter":
		s.adapters = append(s.adapters, o.Subject)
	case "unload":
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == o.Subject })
	}
	s.incarnation++
	s.loading = ""
}

// fillAnnouncement returns a copy of the announcement. In the copy, the fields that
// orders change have their current values.
func (s *engineState) fillAnnouncement(a saddleannounce.Announcement) saddleannounce.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.Group = s.model
	a.Version = s.version
	a.Role = s.role
	a.Adapters = slices.Clone(s.adapters)
	a.Incarnation = s.incarnation
	a.Loading = s.loading
	return a
}

// StartedOrders returns the subjects of all orders that the engine has started to
// execute.
func (e *Engine) StartedOrders() []string {
	e.engineState.mu.Lock()
	defer e.engineState.mu.Unlock()
	return slices.Clone(e.engineState.startedOrders)
}

// executeOrder fetches the weights of an accepted order, waits for the load time
// and applies the order.
func (e *Engine) executeOrder(o saddleengine.OrderRequest) {
	e.engineState.startOrder(o.Subject)
	if e.cfg.WeightStoreAddress != "" {
		e.fetchWeights(o.Subject)
	}
	time.Sleep(e.cfg.LoadTime)
	e.engineState.apply(o)
}

func (e *Engine) fetchWeights(subject string) {
	resp, err := http.Get("http://" + e.cfg.WeightStoreAddress + "/" + subject)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// AnnounceFunc calls describe once per interval and sends the announcement that it
// returns to an agent, until the context ends.
func AnnounceFunc(ctx context.Context, agent string, describe func() saddleannounce.Announcement, interval time.Duration) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		_, _ = saddleannounce.Send(ctx, client, agent, describe())
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
