package saddlegateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Counters of the gateway; docs/OPERATIONS.md lists them.
var (
	countCalls       = expvar.NewInt("gateway_requests_total")
	countServed      = expvar.NewInt("gateway_answered_total")
	countRefused     = expvar.NewInt("gateway_refused_total")
	countBroken      = expvar.NewInt("gateway_broken_off_total")
	countGone        = expvar.NewInt("gateway_callers_gone_total")
	countWaiting     = expvar.NewInt("gateway_waited_total")
	countBudgetSpent = expvar.NewInt("gateway_retry_budget_spent_total")
	countRerouted    = expvar.NewInt("gateway_rerouted_total")
	countInspections = expvar.NewInt("gateway_inspections_total")
)

const (
	longestMs   = 60_000 // longer times count as this
	significant = 2      // digits kept of a time
)

// latencies holds the times of requests by kind of route.
var latencies = struct {
	sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}{byName: map[string]*hdrhistogram.Histogram{}}

func init() {
	expvar.Publish("gateway_latency_ms", expvar.Func(func() any {
		latencies.Lock()
		defer latencies.Unlock()
		out := map[string]map[string]int64{}
		for name, h := range latencies.byName {
			out[name] = map[string]int64{
				"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95),
				"p99": h.ValueAtQuantile(99), "max": h.Max(),
			}
		}
		return out
	}))
}

// observe counts how long a request took, and how long until its first byte.
func observe(route *saddlerouting.Route, took, first time.Duration, begun bool) {
	name := "no_route"
	if route != nil {
		name = route.Kind.String()
	}
	latencies.Lock()
	defer latencies.Unlock()
	record(name+"_whole", took)
	if begun {
		record(name+"_first", first)
	}
}

func record(name string, d time.Duration) {
	h, ok := latencies.byName[name]
	if !ok {
		h = hdrhistogram.New(1, longestMs, significant)
		latencies.byName[name] = h
	}
	_ = h.RecordValue(min(longestMs, max(1, d.Milliseconds())))
}
