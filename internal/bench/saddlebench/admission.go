package saddlebench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebaseline"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlereport"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
)

const (
	engineSlots        = 16
	engineTokenRate    = 40.0 // tokens per second of each slot
	admissionDuration  = 900 * time.Second
	meanRequestTokens  = 123.0 // mean of Call.CostTokens over the generated requests
	smallWorkspaces    = 9     // number of small workspaces
	smallWorkspaceLoad = 0.8   // load of a small workspace as a fraction of its fair share
	maxQueueWait       = 30 * time.Second
	requestTimeout     = 12 * time.Second
	largeWorkspace     = fireflysaddle.Workspace("large")
)

// requestCapacity returns the requests per second that one engine can serve.
func requestCapacity() float64 { return engineSlots * engineTokenRate / meanRequestTokens }

// namedQueue is an admission queue that takes part in the comparison.
type namedQueue struct {
	name     string
	newQueue func() fireflysaddle.Admitter
}

// queues returns two queues: the FIFO queue at index 0 and the agents' queue at
// index 1.
func queues() []namedQueue {
	return []namedQueue{
		{"first come first served", func() fireflysaddle.Admitter { return saddlebaseline.NewFIFO(engineSlots) }},
		{"fair", func() fireflysaddle.Admitter { return saddlequeue.New(engineSlots, maxQueueWait, engineTokenRate) }},
	}
}

// runAdmission measures the agents' queue: fairness, goodput under overload, and
// the accuracy of the Retry-After times.
func runAdmission(ctx context.Context, args []string, out io.Writer) error {
	o, err := parseFlags("admission", args, out, nil)
	if err != nil {
		return err
	}
	for _, measure := range []func(uint64) *saddlereport.Table{measureFairness, measureOverload, measureRetryAfter} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := measure(o.seed).Write(out, o.json); err != nil {
			return err
		}
	}
	return nil
}

func admissionSettings(seed uint64) string {
	return fmt.Sprintf("seed %d, %d slots of %.0f tokens/s, %v", seed, engineSlots, engineTokenRate, admissionDuration)
}

// generateLoad returns the requests that the given number of workspaces send
// between two times of the run. Their total rate is loadFraction times
// requestCapacity. Requests have no deadline if timeout is 0.
func generateLoad(seed uint64, loadFraction float64, timeout time.Duration, from, to time.Duration, workspaces int) []saddleload.Request {
	requests := saddleload.Generate(saddleload.Config{
		Seed:           seed,
		ArrivalPattern: saddleload.Steady,
		Rate:           loadFraction * requestCapacity(),
		TotalDuration:  to - from,
		Workspaces:     workspaces,
		Templates:      templateCount,
		Timeout:        timeout,
	})
	for i := range requests {
		requests[i].SendAt += from
	}
	return requests
}

// withIDPrefix adds a prefix to the ids of requests, so that the ids stay unique
// when loads are merged. It also sets the workspace of the requests to w, unless w
// is empty. It changes the requests in place and returns them.
func withIDPrefix(prefix string, w fireflysaddle.Workspace, requests []saddleload.Request) []saddleload.Request {
	for i := range requests {
		requests[i].ID = fireflysaddle.RequestID(prefix) + requests[i].ID
		if w != "" {
			requests[i].Workspace = w
		}
	}
	return requests
}

// mergeByTime returns the requests of all loads in the order in which they are sent.
func mergeByTime(loads ...[]saddleload.Request) []saddleload.Request {
	out := slices.Concat(loads...)
	slices.SortStableFunc(out, func(a, b saddleload.Request) int { return cmp.Compare(a.SendAt, b.SendAt) })
	return out
}

// measureFairness compares the queue times of small workspaces with and without a
// large workspace that sends ten times its fair share.
func measureFairness(seed uint64) *saddlereport.Table {
	share := 1.0 / (smallWorkspaces + 1)
	var perWorkspace [][]saddleload.Request
	for i := range smallWorkspaces {
		w := fireflysaddle.Workspace(fmt.Sprintf("small-%d", i+1))
		perWorkspace = append(perWorkspace, withIDPrefix(string(w), w, generateLoad(seed+uint64(i), share*smallWorkspaceLoad, 0, 0, admissionDuration, 1)))
	}
	smallRequests := mergeByTime(perWorkspace...)
	largeRequests := withIDPrefix(string(largeWorkspace), largeWorkspace, generateLoad(seed+100, 10*share, 0, 0, admissionDuration, 1))
	t := &saddlereport.Table{
		Name: "admission, shares",
		Settings: fmt.Sprintf("%s, %d small workspaces at %.1f of their share, a large one at 10 times its share",
			admissionSettings(seed), smallWorkspaces, smallWorkspaceLoad),
		Columns: []string{"way", "small p99 wait ms without large", "with large", "ratio", "first small one by itself", "large refused"},
	}
	for _, queue := range queues() {
		withoutLarge, _ := measureWaits(queue, smallRequests)
		withLarge, refused := measureWaits(queue, mergeByTime(smallRequests, largeRequests))
		alone, _ := measureWaits(queue, perWorkspace[0])
		t.Add(queue.name,
			saddlereport.FormatMs(withoutLarge.Percentile(99)), saddlereport.FormatMs(withLarge.Percentile(99)),
			saddlereport.FormatRatio(float64(withLarge.Percentile(99))/float64(max(withoutLarge.Percentile(99), 1))),
			saddlereport.FormatMs(alone.Percentile(99)), fmt.Sprint(refused))
	}
	return t
}

// measureWaits returns the queue times of the answered requests of the small
// workspaces, and the number of refused requests of all workspaces.
func measureWaits(queue namedQueue, requests []saddleload.Request) (*saddlereport.DurationHistogram, int) {
	waits := saddlereport.NewDurationHistogram()
	refused := 0
	for _, call := range saddlesim.NewSingleEngine(queue.newQueue(), engineTokenRate, false).Run(requests, admissionDuration) {
		if call.Refused {
			refused++
		}
		if call.Request.Workspace != largeWorkspace && call.Answered {
			waits.Add(call.QueueTime, 1)
		}
	}
	return waits, refused
}

// measureOverload measures the goodput at several loads: the answers per second
// that are within their deadline, and the tokens of these answers as a fraction of
// the token rate of the engine.
func measureOverload(seed uint64) *saddlereport.Table {
	t := &saddlereport.Table{
		Name:     "admission, overload",
		Settings: fmt.Sprintf("%s, deadline %v, good answers a second", admissionSettings(seed), requestTimeout),
		Columns:  []string{"way", "0.5", "1", "2", "4", "least at 1 and more by peak", "work 0.5", "work 1", "work 2", "work 4", "least work by peak", "late at 4"},
	}
	for _, queue := range queues() {
		var goodput, work []float64
		lateAnswers := 0 // late answers at the current load; after the loop, at the highest load
		for _, load := range []float64{0.5, 1, 2, 4} {
			onTime, tokens := 0, 0.0
			lateAnswers = 0
			for _, call := range saddlesim.NewSingleEngine(queue.newQueue(), engineTokenRate, false).Run(generateLoad(seed, load, requestTimeout, 0, admissionDuration, workspaceCount), admissionDuration) {
				if call.OnTime() {
					onTime++
					tokens += call.CostTokens()
				} else if call.Answered {
					lateAnswers++
				}
			}
			goodput = append(goodput, float64(onTime)/admissionDuration.Seconds())
			work = append(work, tokens/admissionDuration.Seconds()/engineSlots/engineTokenRate)
		}
		cells := []string{queue.name}
		for _, g := range goodput {
			cells = append(cells, fmt.Sprintf("%.2f", g))
		}
		cells = append(cells, saddlereport.FormatRatio(slices.Min(goodput[1:])/slices.Max(goodput)))
		for _, w := range work {
			cells = append(cells, saddlereport.FormatRatio(w))
		}
		t.Add(append(cells, saddlereport.FormatRatio(slices.Min(work[1:])/slices.Max(work)), fmt.Sprint(lateAnswers))...)
	}
	return t
}

// measureRetryAfter measures how accurate the Retry-After times of refusals are.
// The load is four times the capacity during a burst, and half the capacity after
// it. The error of a Retry-After time is the difference between that time and the
// time from the first attempt until the accepted attempt, divided by the Retry-After
// time.
func measureRetryAfter(seed uint64) *saddlereport.Table {
	const burst = 20 * time.Second
	t := &saddlereport.Table{
		Name:     "admission, Retry-After",
		Settings: fmt.Sprintf("%s, deadline %v, %v at 4 times the capacity, then at 0.5", admissionSettings(seed), requestTimeout, burst),
		Columns:  []string{"way", "refused first", "accepted on first return", "mean tries", "mean s until accepted", "error p50", "error p95", "never accepted"},
	}
	queue := queues()[1]
	requests := mergeByTime(
		withIDPrefix("burst", "", generateLoad(seed, 4, requestTimeout, 0, burst, workspaceCount)),
		withIDPrefix("after", "", generateLoad(seed+1, 0.5, requestTimeout, burst, admissionDuration, workspaceCount)))
	refused, acceptedOnFirstRetry, attempts, neverAccepted := 0, 0, 0, 0
	var relativeErrors []float64
	var totalDelay time.Duration
	for _, call := range saddlesim.NewSingleEngine(queue.newQueue(), engineTokenRate, true).Run(requests, admissionDuration) {
		if call.RetryAfter == 0 {
			continue
		}
		refused++
		attempts += call.Attempts
		switch {
		case !call.Answered:
			neverAccepted++
			continue
		case call.Attempts == 2:
			acceptedOnFirstRetry++
		}
		totalDelay += call.LatestArrivalAt - call.ArrivedAt
		relativeErrors = append(relativeErrors, math.Abs((call.LatestArrivalAt-call.ArrivedAt-call.RetryAfter).Seconds())/call.RetryAfter.Seconds())
	}
	slices.Sort(relativeErrors)
	t.Add(queue.name, fmt.Sprint(refused), saddlereport.FormatRatio(float64(acceptedOnFirstRetry)/float64(max(refused, 1))),
		saddlereport.FormatRatio(float64(attempts)/float64(max(refused, 1))),
		fmt.Sprintf("%.1f", totalDelay.Seconds()/float64(max(len(relativeErrors), 1))), formatQuantile(relativeErrors, 0.5), formatQuantile(relativeErrors, 0.95), fmt.Sprint(neverAccepted))
	return t
}

// formatQuantile formats the quantile q, between 0 and 1, of sorted values. It
// returns "-" if there are none.
func formatQuantile(sorted []float64, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return saddlereport.FormatRatio(sorted[int(q*float64(len(sorted)-1))])
}
