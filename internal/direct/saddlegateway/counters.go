package saddlegateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// Counters of the gateway, documented in docs/OPERATIONS.md.
var (
	countCalls             = expvar.NewInt("gateway_requests_total")
	countAnswered          = expvar.NewInt("gateway_answered_total")
	countRefused           = expvar.NewInt("gateway_refused_total")
	countAborted           = expvar.NewInt("gateway_broken_off_total")
	countUnfinished        = expvar.NewInt("gateway_unfinished_total")
	countShutdownDecisions = expvar.NewMap("gateway_shutdown_total")
	countQuarantined       = expvar.NewInt("gateway_quarantined_total")
	countDisconnected      = expvar.NewInt("gateway_callers_gone_total")
	countWaited            = expvar.NewInt("gateway_waited_total")
	countBudgetExhausted   = expvar.NewInt("gateway_retry_budget_spent_total")
	countRerouted          = expvar.NewInt("gateway_rerouted_total")
	countAdmission         = expvar.NewMap("gateway_admission_total")
	countReturns           = expvar.NewMap("gateway_returns_total")
	waitingTokens          = expvar.NewMap("gateway_waiting_tokens")
	countReportRequests    = expvar.NewInt("gateway_inspections_total")
	countReportsSpared     = expvar.NewInt("gateway_inspections_spared_total")
)

const (
	maxLatencyMS  = 60_000 // longer latencies are recorded as this value
	latencyDigits = 2      // significant digits of a recorded latency
)

// latencies holds latency histograms in milliseconds. The name of a histogram is the kind
// of route, followed by "_whole" for the total time or "_first" for the time until the
// first byte. "_first_small", "_first_medium" and "_first_large" are those of prompts by size.
// "forecast_late" and "forecast_early" are by how much first events of streams were later or
// earlier than expected.
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

// observeLatency records how long a request took in total and, if an answer began,
// until its first byte. size is the size class of its prompt, empty if it has none.
func observeLatency(route *saddlerouting.Route, total, firstByte time.Duration, answerBegan bool, size string) {
	name := "no_route"
	if route != nil {
		name = route.Kind.String()
	}
	latencies.Lock()
	defer latencies.Unlock()
	recordLatency(name+"_whole", total)
	if answerBegan {
		recordLatency(name+"_first", firstByte)
		if size != "" {
			recordLatency(name+"_first_"+size, firstByte)
		}
	}
}

// observeForecast records by how much a first event was later or earlier than expected.
func observeForecast(expected, seen time.Duration) {
	latencies.Lock()
	defer latencies.Unlock()
	if seen > expected {
		recordLatency("forecast_late", seen-expected)
		return
	}
	recordLatency("forecast_early", expected-seen)
}

func recordLatency(name string, d time.Duration) {
	h, ok := latencies.byName[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMS, latencyDigits)
		latencies.byName[name] = h
	}
	_ = h.RecordValue(min(maxLatencyMS, max(1, d.Milliseconds())))
}
