package saddlegateway

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// reportTimeout bounds a report request to the head of a chain.
	reportTimeout = 200 * time.Millisecond
	// reportMaxAge is how long a report is shared by all streams with the same head.
	reportMaxAge = 100 * time.Millisecond
)

// cachedReport is the last report of a head, or the error of the request for it.
type cachedReport struct {
	mu        sync.Mutex
	fetchedAt time.Time
	report    fireflysaddle.EngineReport
	err       error
}

// engineReport returns the report of a head. Concurrent callers share one report request,
// so the request is not cancelled when the context of the caller that sent it ends.
func (g *Gateway) engineReport(ctx context.Context, address string) (fireflysaddle.EngineReport, error) {
	g.mu.Lock()
	cached, ok := g.engineReports[address]
	if !ok {
		cached = &cachedReport{}
		g.engineReports[address] = cached
	}
	g.mu.Unlock()
	cached.mu.Lock()
	defer cached.mu.Unlock()
	if time.Since(cached.fetchedAt) < reportMaxAge {
		return cached.report, cached.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	countReportRequests.Add(1)
	cached.report, cached.err = g.cfg.Forwarder.Report(ctx, address)
	cached.fetchedAt = time.Now()
	return cached.report, cached.err
}
