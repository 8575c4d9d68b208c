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
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlefigure"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddleload"
	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlesim"
)

const (
	stationSlots  = 16
	stationRate   = 40.0 // tokens a second in a slot
	stationLength = 900 * time.Second
	stationMean   = 123.0 // tokens of a request, its prompt included
	smallOnes     = 9     // small workspaces
	smallLoad     = 0.8   // of their share
	queueWait     = 30 * time.Second
	deadline      = 12 * time.Second
	large         = fireflysaddle.Workspace("large")
)

// capacity returns the requests a second that a station can serve.
func capacity() float64 { return stationSlots * stationRate / stationMean }

// namedQueue is one way of admission that is compared.
type namedQueue struct {
	name string
	make func() fireflysaddle.Admitter
}

func queues() []namedQueue {
	return []namedQueue{
		{"first come first served", func() fireflysaddle.Admitter { return saddlebaseline.NewFIFO(stationSlots) }},
		{"fair", func() fireflysaddle.Admitter { return saddlequeue.New(stationSlots, queueWait, stationRate) }},
	}
}

// runAdmission measures the agents' queue: shares, overload, and the times
// after which refused callers are told to come back.
func runAdmission(ctx context.Context, args []string, out io.Writer) error {
	o, err := parse("admission", args, out, nil)
	if err != nil {
		return err
	}
	for _, table := range []func(uint64) *saddlefigure.Table{sharesTable, overloadTable, returnsTable} {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := table(o.seed).Write(out, o.json); err != nil {
			return err
		}
	}
	return nil
}

func stationSettings(seed uint64) string {
	return fmt.Sprintf("seed %d, %d slots of %.0f tokens/s, %v", seed, stationSlots, stationRate, stationLength)
}

// stationLoad draws requests of one or more workspaces at a share of the
// capacity.
func stationLoad(seed uint64, share float64, patience time.Duration, from, to time.Duration, workspaces int) []saddleload.Request {
	requests := saddleload.Draw(saddleload.Config{
		Seed:       seed,
		Shape:      saddleload.Steady,
		Rate:       share * capacity(),
		Length:     to - from,
		Workspaces: workspaces,
		Templates:  templates,
		Patience:   patience,
	})
	for i := range requests {
		requests[i].At += from
	}
	return requests
}

// named gives requests ids of their own and, unless it is empty, a workspace.
func named(prefix string, w fireflysaddle.Workspace, requests []saddleload.Request) []saddleload.Request {
	for i := range requests {
		requests[i].ID = fireflysaddle.RequestID(prefix) + requests[i].ID
		if w != "" {
			requests[i].Workspace = w
		}
	}
	return requests
}

func merged(parts ...[]saddleload.Request) []saddleload.Request {
	out := slices.Concat(parts...)
	slices.SortStableFunc(out, func(a, b saddleload.Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// sharesTable shows the waits of small workspaces beside a large one that sends
// ten times its share.
func sharesTable(seed uint64) *saddlefigure.Table {
	share := 1.0 / (smallOnes + 1)
	var small [][]saddleload.Request
	for i := range smallOnes {
		w := fireflysaddle.Workspace(fmt.Sprintf("small-%d", i+1))
		small = append(small, named(string(w), w, stationLoad(seed+uint64(i), share*smallLoad, 0, 0, stationLength, 1)))
	}
	others := merged(small...)
	flood := named(string(large), large, stationLoad(seed+100, 10*share, 0, 0, stationLength, 1))
	t := &saddlefigure.Table{
		Name: "admission, shares",
		Settings: fmt.Sprintf("%s, %d small workspaces at %.1f of their share, a large one at 10 times its share",
			stationSettings(seed), smallOnes, smallLoad),
		Columns: []string{"way", "small p99 wait ms without large", "with large", "ratio", "first small one by itself", "large refused"},
	}
	for _, q := range queues() {
		without, _ := waits(q, others)
		with, refused := waits(q, merged(others, flood))
		alone, _ := waits(q, small[0])
		t.Add(q.name,
			saddlefigure.Ms(without.At(99)), saddlefigure.Ms(with.At(99)),
			saddlefigure.Share(float64(with.At(99))/float64(max(without.At(99), 1))),
			saddlefigure.Ms(alone.At(99)), fmt.Sprint(refused))
	}
	return t
}

// waits returns the waits of all but the large workspace, and the number of
// refusals.
func waits(q namedQueue, requests []saddleload.Request) (*saddlefigure.Times, int) {
	times := saddlefigure.NewTimes()
	refused := 0
	for _, v := range saddlesim.NewSingleEngine(q.make(), stationRate, false).Run(requests, stationLength) {
		if v.Refused {
			refused++
		}
		if v.Request.Workspace != large && v.Answered {
			times.Add(v.QueueTime, 1)
		}
	}
	return times, refused
}

// overloadTable shows the answers within their deadline at several loads.
func overloadTable(seed uint64) *saddlefigure.Table {
	t := &saddlefigure.Table{
		Name:     "admission, overload",
		Settings: fmt.Sprintf("%s, deadline %v, good answers a second", stationSettings(seed), deadline),
		Columns:  []string{"way", "0.5", "1", "2", "4", "least at 1 and more by peak", "work 0.5", "work 1", "work 2", "work 4", "least work by peak", "late at 4"},
	}
	for _, q := range queues() {
		var good, work []float64
		late := 0
		for _, load := range []float64{0.5, 1, 2, 4} {
			n, tokens := 0, 0.0
			late = 0
			for _, v := range saddlesim.NewSingleEngine(q.make(), stationRate, false).Run(stationLoad(seed, load, deadline, 0, stationLength, workspaces), stationLength) {
				if v.OnTime() {
					n++
					tokens += v.CostTokens()
				} else if v.Answered {
					late++
				}
			}
			good = append(good, float64(n)/stationLength.Seconds())
			work = append(work, tokens/stationLength.Seconds()/stationSlots/stationRate)
		}
		cells := []string{q.name}
		for _, g := range good {
			cells = append(cells, fmt.Sprintf("%.2f", g))
		}
		cells = append(cells, saddlefigure.Share(slices.Min(good[1:])/slices.Max(good)))
		for _, w := range work {
			cells = append(cells, saddlefigure.Share(w))
		}
		t.Add(append(cells, saddlefigure.Share(slices.Min(work[1:])/slices.Max(work)), fmt.Sprint(late))...)
	}
	return t
}

// returnsTable shows how well the times hold after which refused callers are
// told to come back: a burst of four times the capacity, then half of it.
func returnsTable(seed uint64) *saddlefigure.Table {
	const burst = 20 * time.Second
	t := &saddlefigure.Table{
		Name:     "admission, Retry-After",
		Settings: fmt.Sprintf("%s, deadline %v, %v at 4 times the capacity, then at 0.5", stationSettings(seed), deadline, burst),
		Columns:  []string{"way", "refused first", "accepted on first return", "mean tries", "mean s until accepted", "error p50", "error p95", "never accepted"},
	}
	q := queues()[1]
	requests := merged(
		named("burst", "", stationLoad(seed, 4, deadline, 0, burst, workspaces)),
		named("after", "", stationLoad(seed+1, 0.5, deadline, burst, stationLength, workspaces)))
	refused, first, tries, never := 0, 0, 0, 0
	var errs []float64
	var until time.Duration
	for _, v := range saddlesim.NewSingleEngine(q.make(), stationRate, true).Run(requests, stationLength) {
		if v.RetryAfter == 0 {
			continue
		}
		refused++
		tries += v.Attempts
		switch {
		case !v.Answered:
			never++
			continue
		case v.Attempts == 2:
			first++
		}
		until += v.AcceptedAt - v.ArrivedAt
		errs = append(errs, math.Abs((v.AcceptedAt-v.ArrivedAt-v.RetryAfter).Seconds())/v.RetryAfter.Seconds())
	}
	slices.Sort(errs)
	t.Add(q.name, fmt.Sprint(refused), saddlefigure.Share(float64(first)/float64(max(refused, 1))),
		saddlefigure.Share(float64(tries)/float64(max(refused, 1))),
		fmt.Sprintf("%.1f", until.Seconds()/float64(max(len(errs), 1))), quantile(errs, 0.5), quantile(errs, 0.95), fmt.Sprint(never))
	return t
}

func quantile(sorted []float64, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return saddlefigure.Share(sorted[int(q*float64(len(sorted)-1))])
}
