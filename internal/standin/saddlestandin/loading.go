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

// holding is what an engine holds; orders change it. It is safe for concurrent
// use.
type holding struct {
	mu          sync.Mutex
	model       string
	version     string
	role        string
	adapters    []string
	incarnation uint64
	loads       []string // subjects of the loads that were begun
	loading     string
}

func newHolding(cfg EngineConfig) *holding {
	return &holding{model: cfg.Model, version: cfg.Version, incarnation: cfg.Incarnation}
}

// begin notes that a load begins.
func (h *holding) begin(subject string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, subject)
	h.loading = subject
}

// apply changes what is held and draws a new incarnation.
func (h *holding) apply(o saddleengine.OrderRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch o.Action {
	case "load":
		h.model = o.Subject
	case "version":
		h.version = o.Subject
	case "role":
		h.role = o.Subject
	case "adapter":
		h.adapters = append(h.adapters, o.Subject)
	case "unload":
		h.adapters = slices.DeleteFunc(h.adapters, func(a string) bool { return a == o.Subject })
	}
	h.incarnation++
	h.loading = ""
}

// describe fills in an announcement.
func (h *holding) describe(a saddleannounce.Announcement) saddleannounce.Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Group = h.model
	a.Version = h.version
	a.Role = h.role
	a.Adapters = slices.Clone(h.adapters)
	a.Incarnation = h.incarnation
	a.Loading = h.loading
	return a
}

// Loads returns the subjects of the loads that the engine began.
func (e *Engine) Loads() []string {
	e.holding.mu.Lock()
	defer e.holding.mu.Unlock()
	return slices.Clone(e.holding.loads)
}

// carryOut does what an accepted order says, in its own time.
func (e *Engine) carryOut(o saddleengine.OrderRequest) {
	e.holding.begin(o.Subject)
	if e.cfg.WeightStoreAddress != "" {
		e.fetchWeights(o.Subject)
	}
	time.Sleep(e.cfg.LoadTime)
	e.holding.apply(o)
}

func (e *Engine) fetchWeights(subject string) {
	resp, err := http.Get("http://" + e.cfg.WeightStoreAddress + "/" + subject)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
}

// AnnounceChanging announces a target that may change, again and again until
// the context ends.
func AnnounceChanging(ctx context.Context, agent string, describe func() saddleannounce.Announcement, every time.Duration) {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		_, _ = saddleannounce.Send(ctx, client, agent, describe())
		select {
		case <-ctx.Done():
		case <-time.After(every):
		}
	}
}
