package saddlestandin

import (
	"sync"
	"time"
)

// LoadReport is the load of an engine at an earlier time.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// loadHistory records loads and reports them with a delay. It is safe for
// concurrent use.
type loadHistory struct {
	mu          sync.Mutex
	reportDelay time.Duration
	loads       []timedLoad // oldest first
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

// report returns the load as it was reportDelay ago. It returns a load of 0 if
// nothing had been recorded by then.
func (h *loadHistory) report() LoadReport {
	h.mu.Lock()
	defer h.mu.Unlock()
	cutoff := time.Now().Add(-h.reportDelay)
	var out LoadReport
	for len(h.loads) > 1 && h.loads[1].at.Before(cutoff) {
		h.loads = h.loads[1:]
	}
	if len(h.loads) > 0 && h.loads[0].at.Before(cutoff) {
		out = h.loads[0].report
	}
	return out
}
