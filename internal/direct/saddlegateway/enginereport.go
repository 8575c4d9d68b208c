package saddlegateway

import (
	"context"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	// reportTimeout bounds a report request to the head of a chain.
	reportTimeout = 200 * time.Millisecond
	// reportMaxAge is how long a report is shared by all streams with the same head.
	reportMaxAge = 100 * time.Millisecond
	// usualReportTime is the time within which a head in use sends its report. If the report is
	// later, the head is probed at the same time.
	usualReportTime = 20 * time.Millisecond
	// ProbeTimeout bounds a probe of an engine. Engines answer a probe within milliseconds.
	// An answer to a caller that waits for the result of the probe is late after a pause of
	// 250 ms.
	ProbeTimeout = 120 * time.Millisecond
)

// sharedReport is a report of a head, or the error of the request for it.
type sharedReport struct {
	done        chan struct{} // closed once the fields below are set
	requestedAt time.Time
	fetchedAt   time.Time
	report      fireflysaddle.EngineReport
	err         error
}

// current reports whether further streams use the report or wait for it.
func (r *sharedReport) current(now time.Time) bool {
	select {
	case <-r.done:
		return now.Sub(r.fetchedAt) < reportMaxAge
	default:
		return true
	}
}

// reportAge returns the age of the last report of a head.
func (g *Gateway) reportAge(now time.Time, address string) (age time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	shared := g.engineReports[address]
	if shared == nil {
		return 0, false
	}
	select {
	case <-shared.done:
		return now.Sub(shared.requestedAt), shared.err == nil
	default:
		return 0, false
	}
}

// engineReport returns the report of a head. Concurrent callers share one report request,
// so the request is not cancelled when the context of the caller that sent it ends. The
// report serves as a probe of the head; the head is probed if it does not arrive soon.
func (g *Gateway) engineReport(ctx context.Context, now time.Time, address string) *sharedReport {
	g.mu.Lock()
	shared, ok := g.engineReports[address]
	if ok && shared.current(now) {
		g.mu.Unlock()
		<-shared.done
		return shared
	}
	shared = &sharedReport{done: make(chan struct{}), requestedAt: now}
	g.engineReports[address] = shared
	g.mu.Unlock()
	defer close(shared.done)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	late := time.AfterFunc(usualReportTime, func() { g.cfg.Fleet.RequestProbe(time.Now(), address) })
	defer late.Stop()
	countReportRequests.Add(1)
	shared.report, shared.err = g.cfg.Forwarder.Report(ctx, address)
	shared.fetchedAt = time.Now()
	if shared.err == nil {
		g.cfg.Fleet.RecordReport(shared.fetchedAt, address, shared.report)
	}
	return shared
}
