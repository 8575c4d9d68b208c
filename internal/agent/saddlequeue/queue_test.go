package saddlequeue_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
)

var epoch = time.Date(2026, time.May, 1, 8, 0, 0, 0, time.UTC)

const (
	rate    = 100.0 // tokens per second of one slot
	maxWait = 10 * time.Second
)

// demand returns a demand that occupies a slot for one second.
func demand(id string, w fireflysaddle.Workspace) fireflysaddle.Demand {
	return fireflysaddle.Demand{Request: fireflysaddle.RequestID(id), Workspace: w, Weight: 1, Tokens: rate}
}

func offer(t *testing.T, q fireflysaddle.Admitter, now time.Time, demands ...fireflysaddle.Demand) {
	t.Helper()
	for _, d := range demands {
		if err := q.Offer(now, d); err != nil {
			t.Fatalf("offer %s: %v", d.Request, err)
		}
	}
}

// runAll runs up to n requests of a queue with one slot, for one second each, and
// returns their IDs in the order of their starts.
func runAll(q fireflysaddle.Admitter, now time.Time, n int) []string {
	var out []string
	for range n {
		id, ok := q.Next(now)
		if !ok {
			return out
		}
		out = append(out, string(id))
		now = now.Add(time.Second)
		q.Finish(now, id)
	}
	return out
}

func refusal(t *testing.T, err error) *fireflysaddle.RefusedError {
	t.Helper()
	var refused *fireflysaddle.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("got %v, want a *RefusedError", err)
	}
	return refused
}

func TestWorkspacesShareATargetByWeightAndTokens(t *testing.T) {
	for _, c := range []struct {
		name   string
		weight uint32 // weight of the first workspace
		tokens int    // tokens of each of its requests
		want   int    // number of its requests among the first twelve started
	}{
		{"equal shares", 1, rate, 6},
		{"twice the weight", 2, rate, 8},
		{"requests of half the size", 1, rate / 2, 8},
		{"requests of twice the size", 1, 2 * rate, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := saddlequeue.New(1, time.Hour, rate)
			for n := range 24 {
				d := demand(fmt.Sprintf("first-%d", n), "first")
				d.Weight, d.Tokens = c.weight, c.tokens
				offer(t, q, epoch, d)
			}
			for n := range 24 {
				offer(t, q, epoch, demand(fmt.Sprintf("second-%d", n), "second"))
			}
			got := 0
			for _, id := range runAll(q, epoch, 12) {
				if id[0] == 'f' {
					got++
				}
			}
			is.True(got >= c.want-1 && got <= c.want+1)
		})
	}
}

func TestSmallWorkspaceIsNotDelayedByLargeBacklog(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	for n := range 50 {
		offer(t, q, epoch, demand(fmt.Sprintf("large-%d", n), "large"))
	}
	runAll(q, epoch, 10)
	offer(t, q, epoch.Add(10*time.Second), demand("small-1", "small"), demand("small-2", "small"))
	is.Equal(runAll(q, epoch.Add(10*time.Second), 2), []string{"small-1", "small-2"}) // both are served before the backlog, since their workspace was idle
}

func TestIdleWorkspaceHasBoundedBurst(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	for n := range 100 {
		offer(t, q, epoch, demand(fmt.Sprintf("large-%d", n), "large"))
	}
	runAll(q, epoch, 50)
	for n := range 20 {
		offer(t, q, epoch.Add(time.Minute), demand(fmt.Sprintf("small-%d", n), "small"))
	}
	small := 0
	for _, id := range runAll(q, epoch.Add(time.Minute), 10) {
		if id[0] == 's' {
			small++
		}
	}
	is.True(small >= 5)
	is.True(small <= 7) // half of the ten, and two for the burst of two seconds
}

func TestOrderWithinAWorkspaceIsPriorityDeadlineArrival(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	plain, plainToo := demand("plain", "w"), demand("plain-too", "w")
	soon, later, urgent := demand("soon", "w"), demand("later", "w"), demand("urgent", "w")
	soon.Deadline = epoch.Add(time.Minute)
	later.Deadline = epoch.Add(2 * time.Minute)
	urgent.Priority = 1
	offer(t, q, epoch, plain, plainToo, later, soon, urgent)
	is.Equal(runAll(q, epoch, 9), []string{"urgent", "soon", "later", "plain", "plain-too"})
}

func TestQueueIsBoundedByPredictedWait(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(2, maxWait, rate)
	accepted := 0
	var err error
	for ; err == nil && accepted < 100; accepted++ {
		err = q.Offer(epoch, demand(fmt.Sprint(accepted), "w"))
		q.Next(epoch)
	}
	refused := refusal(t, err)
	is.Equal(refused.Code, fireflysaddle.CodeOverloaded)
	is.True(accepted >= 20 && accepted <= 23) // two slots for ten seconds each, and the two running requests
	is.True(refused.RetryAfter > 0)
	is.True(refused.RetryAfter <= time.Second) // the queue is over its limit by one request
}

func TestRefusedRequestIsAcceptedAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, 2*time.Second, rate)
	offer(t, q, epoch, demand("a", "w"), demand("b", "w"))
	id, ok := q.Next(epoch)
	is.True(ok)
	offer(t, q, epoch, demand("c", "w"))
	refused := refusal(t, q.Offer(epoch, demand("d", "w")))
	is.Equal(refused.RetryAfter, time.Second) // three seconds of work before it, two allowed
	q.Finish(epoch.Add(time.Second), id)
	_, ok = q.Next(epoch.Add(time.Second))
	is.True(ok)
	offer(t, q, epoch.Add(refused.RetryAfter), demand("d", "w"))
}

func TestRetryAfterOfRefusedRequestsIsSpaced(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Second, rate)
	offer(t, q, epoch, demand("a", "w"))
	q.Next(epoch)
	offer(t, q, epoch, demand("b", "w"))
	last := time.Duration(0)
	for n := range 5 {
		refused := refusal(t, q.Offer(epoch, demand(fmt.Sprint(n), "w")))
		is.True(refused.RetryAfter >= last+time.Second || n == 0)
		last = refused.RetryAfter
	}
}

func TestRequestPredictedToMissItsDeadlineIsRefused(t *testing.T) {
	for _, c := range []struct {
		name     string
		ahead    int // number of running or queued requests before the tested request
		deadline time.Duration
		code     fireflysaddle.Code // code of the expected refusal; empty if the request is accepted
	}{
		{"enough time", 2, 4 * time.Second, ""},
		{"queue too long", 5, 4 * time.Second, fireflysaddle.CodeOverloaded},
		{"deadline shorter than the service time", 0, 500 * time.Millisecond, fireflysaddle.CodeDeadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := saddlequeue.New(1, time.Hour, rate)
			for n := range c.ahead {
				earlier := demand(fmt.Sprint(n), "w")
				earlier.Priority = 1
				offer(t, q, epoch, earlier)
				q.Next(epoch)
			}
			d := demand("last", "w")
			d.Deadline = epoch.Add(c.deadline)
			err := q.Offer(epoch, d)
			if c.code == "" {
				is.NoErr(err)
				return
			}
			is.Equal(refusal(t, err).Code, c.code)
		})
	}
}

func TestQueuedRequestExpiresWhenItCannotMeetItsDeadline(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	offer(t, q, epoch, demand("runs", "w"))
	_, ok := q.Next(epoch)
	is.True(ok)
	d := demand("waits", "w")
	d.Deadline = epoch.Add(3 * time.Second)
	offer(t, q, epoch, d)
	at, ok := q.NextExpiry()
	is.True(ok)
	is.True(at.Sub(epoch) < 2100*time.Millisecond) // one second of service time before its deadline
	is.Equal(q.RemoveExpired(at.Add(-1)), nil)
	q.Finish(at, "runs")
	_, ok = q.Next(at)
	is.True(!ok) // an expired request is not started
	is.Equal(q.RemoveExpired(at), []fireflysaddle.RequestID{"waits"})
	_, ok = q.NextExpiry()
	is.True(!ok)
}

func TestPredictedWaitFollowsMeasuredTimes(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	now := epoch
	for n := range 30 { // each request takes 10 s instead of the 1 s that follows from the announced rate
		offer(t, q, now, demand(fmt.Sprint(n), "w"))
		id, _ := q.Next(now)
		now = now.Add(10 * time.Second)
		q.Finish(now, id)
	}
	offer(t, q, now, demand("runs", "w"))
	q.Next(now)
	is.True(q.EstimatedWait(now) > 9*time.Second)
	is.True(q.EstimatedWait(now) < 11*time.Second)
	is.True(q.EstimatedWait(now.Add(5*time.Second)) < 6*time.Second) // half of the running request is done
}

func TestWithdrawnRequestIsRemovedFromAllQueues(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	d := demand("a", "w")
	d.Deadline = epoch.Add(time.Minute)
	offer(t, q, epoch, d)
	is.True(q.Withdraw(epoch, "a"))
	is.True(!q.Withdraw(epoch, "a"))
	running, queued := q.Counts()
	is.Equal(running+queued, 0)
	_, ok := q.Next(epoch)
	is.True(!ok)
	is.Equal(q.RemoveExpired(epoch.Add(time.Hour)), nil)
}

func TestDeadlineCheckAllowsForVariationOfServiceTimes(t *testing.T) {
	is := is.New(t)
	q := saddlequeue.New(1, time.Hour, rate)
	now := epoch
	for n := range 40 { // alternating 0.5 s and 1.5 s, one second on average
		offer(t, q, now, demand(fmt.Sprint(n), "w"))
		id, _ := q.Next(now)
		now = now.Add(time.Duration(n%2)*time.Second + time.Second/2)
		q.Finish(now, id)
	}
	d := demand("tight", "w")
	d.Deadline = now.Add(1200 * time.Millisecond)
	is.Equal(refusal(t, q.Offer(now, d)).Code, fireflysaddle.CodeDeadline)
	d.Deadline = now.Add(3 * time.Second)
	is.NoErr(q.Offer(now, d))
}

func TestPredictedWaitCountsSharesOfOtherWorkspaces(t *testing.T) {
	for _, c := range []struct {
		name    string
		others  int // queued requests of each of two other workspaces
		own     int // queued requests of the workspace itself
		refused bool
	}{
		{"short queues of other workspaces", 1, 3, false},
		{"long queues of other workspaces", 20, 3, true},
		{"long queues of other workspaces, own queue empty", 20, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := saddlequeue.New(1, 8500*time.Millisecond, rate)
			offer(t, q, epoch, demand("runs", "first"))
			q.Next(epoch)
			for _, w := range []fireflysaddle.Workspace{"first", "second"} {
				for n := range c.others {
					d := demand(fmt.Sprintf("%s-%d", w, n), w)
					d.Priority = fireflysaddle.Priority(n) // each is served before those already queued
					offer(t, q, epoch, d)
				}
			}
			for n := range c.own {
				offer(t, q, epoch, demand(fmt.Sprintf("own-%d", n), "own"))
			}
			err := q.Offer(epoch, demand("last", "own"))
			is.Equal(err != nil, c.refused)
		})
	}
}

func TestPredictedWaitOfBackloggedWorkspaceFollowsItsServiceRate(t *testing.T) {
	for _, c := range []struct {
		name    string
		others  bool // another workspace keeps submitting requests
		refused bool
	}{
		{"alone", false, false},
		{"with another workspace", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := saddlequeue.New(1, 16*time.Second, rate)
			now, largeCount := epoch, 0
			offerLarge := func() error {
				largeCount++
				return q.Offer(now, demand(fmt.Sprintf("large-%d", largeCount), "large"))
			}
			for n := range 30 {
				for _, queued := q.Counts(); queued < 12; _, queued = q.Counts() {
					is.NoErr(offerLarge())
				}
				if c.others && n%2 == 0 {
					offer(t, q, now, demand(fmt.Sprintf("small-%d", n), "small"))
				}
				id, _ := q.Next(now)
				now = now.Add(time.Second)
				q.Finish(now, id)
			}
			q.Next(now)
			is.Equal(offerLarge() != nil, c.refused) // about 11 requests before it: 12 s alone, or 22 s at half the service rate
		})
	}
}
