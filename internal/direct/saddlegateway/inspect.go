package saddlegateway

import (
	"context"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// reportTimeout bounds the question to a head.
	reportTimeout = 200 * time.Millisecond
	// reportFresh is how long an answer serves all streams of a head.
	reportFresh = 100 * time.Millisecond
)

// inspection is an answer of a head that serves all who ask within a short time.
type inspection struct {
	mu     sync.Mutex
	at     time.Time
	report fireflysaddle.EngineReport
	err    error
}

// inspect asks a head for its state, once for all streams that wait there.
func (g *Gateway) inspect(ctx context.Context, address string) (fireflysaddle.EngineReport, error) {
	g.mu.Lock()
	in, ok := g.reports[address]
	if !ok {
		in = &inspection{}
		g.reports[address] = in
	}
	g.mu.Unlock()
	in.mu.Lock()
	defer in.mu.Unlock()
	if time.Since(in.at) < reportFresh {
		return in.report, in.err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	countInspections.Add(1)
	in.report, in.err = g.cfg.Forwarder.Report(ctx, address)
	in.at = time.Now()
	return in.report, in.err
}
