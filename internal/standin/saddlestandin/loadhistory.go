package saddlestandin

import (
	"sync"
	"time"
)

// LoadReport is an engine's load as it was a while ago.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// loadHistory reports loads with a lag. It is safe for concurrent use.
type loadHistory struct {
	mu    sync.Mutex
	lag   time.Duration
	loads []timedLoad
}

type timedLoad struct {
	at     time.Time
	report LoadReport
}

func (h *loadHistory) add(now time.Time, running, queued int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = append(h.loads, timedLoad{at: now, report: LoadReport{Running: running, Queued: queued}})
}

// report returns the load as it was a lag ago.
func (h *loadHistory) report() LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	until := time.Now().Add(-h.lag)
	var out LoadReport
	for len(h.loads) > 1 && h.loads[1].at.Before(until) {
		h.loads = h.loads[1:]
	}
	if len(h.loads) > 0 && h.loads[0].at.Before(until) {
		out = h.loads[0].report
	}
	return out
}
