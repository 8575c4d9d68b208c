package saddlegateway_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

const (
	graceTime = 8 * time.Second
	lameDuck  = 2300 * time.Millisecond
)

// startShutdown begins a shutdown as the platform does it, and returns when the process is
// killed.
func (f *fixture) startShutdown() time.Time {
	now := time.Now()
	f.gateway.StartShutdown(now, now.Add(lameDuck), now.Add(graceTime))
	return now.Add(graceTime)
}

// startShutdownBefore begins a shutdown and waits until the time of an arrival after SIGTERM. If it
// is negative, it returns at once, and the shutdown begins later. It returns when the process is
// killed.
func (f *fixture) startShutdownBefore(arrival time.Duration) time.Time {
	killed := time.Now().Add(graceTime - min(0, arrival))
	time.AfterFunc(-min(0, arrival), func() { f.startShutdown() })
	synctest.Wait()
	time.Sleep(max(0, arrival))
	return killed
}

// setTimeouts sets the timeout of each route.
func (f *fixture) setTimeouts(t *testing.T, timeout time.Duration) {
	t.Helper()
	r := routing(t)
	for _, route := range r.Routes {
		route.Timeout = timeout
	}
	f.setRouting(r, 0)
}

// answerAfter answers after a delay.
func answerAfter(delay time.Duration, step answerFunc) answerFunc {
	return func(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		time.Sleep(delay)
		return step(f)
	}
}

// cancelledBody is a body that ends with the context of its request.
type cancelledBody struct{ *io.PipeReader }

func (b cancelledBody) setContext(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = b.CloseWithError(context.Cause(ctx)) })
}

// pacedEvents answers with events, each after a pause.
func pacedEvents(events int, pause time.Duration) answerFunc {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := okReply("")
		body, w := io.Pipe()
		go func() {
			for i := range events {
				time.Sleep(pause)
				if _, err := io.WriteString(w, eventStream(i, i)); err != nil {
					return
				}
			}
			_ = w.Close()
		}()
		r.Body = cancelledBody{body}
		return r, nil
	}
}

// Guards against a call without an answer being cut in silence when the process is killed,
// whatever it waits for and whenever it arrived.
func TestCallsWithoutAnswerAreRefusedBeforeTheProcessIsKilled(t *testing.T) {
	const soon = 400 * time.Millisecond // to the kill: too little for a call that is usually longer
	for _, c := range []struct {
		name, path string
		change     func(f *fixture, call *saddlegateway.Call)
	}{
		{"no answer, non-idempotent", "/file/", func(f *fixture, _ *saddlegateway.Call) { f.fakeTargets.silent = true }},
		{"no answer, idempotent", "/status/", func(f *fixture, _ *saddlegateway.Call) { f.fakeTargets.silent = true }},
		{"no answer, resumable stream", "/draft/", func(f *fixture, _ *saddlegateway.Call) { f.fakeTargets.silent = true }},
		{"no answer, stream", "/once/", func(f *fixture, _ *saddlegateway.Call) { f.fakeTargets.silent = true }},
		{"part of an answer, non-idempotent", "/file/", func(*fixture, *saddlegateway.Call) {}},
		{"part of an answer, idempotent", "/status/", func(*fixture, *saddlegateway.Call) {}},
		{"no answer, stream of a plain service", "/feed/", func(f *fixture, _ *saddlegateway.Call) { f.fakeTargets.silent = true }},
		{"no event", "/draft/", func(*fixture, *saddlegateway.Call) {}},
		{"no capacity", "/draft/", func(_ *fixture, c *saddlegateway.Call) { c.PromptTokens = 1 << 30 }},
		{"no configuration", "/file/", func(f *fixture, _ *saddlegateway.Call) { f.setRouting(nil, 0) }},
	} {
		for _, arrival := range []time.Duration{-time.Second, 0, lameDuck, 4 * time.Second, graceTime - soon, graceTime - 250*time.Millisecond, graceTime - 10*time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s after SIGTERM", c.name, arrival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
						r := okReply("")
						r.Body = &silentBody{Reader: strings.NewReader("da")}
						return r, nil
					})
					f.setTimeouts(t, time.Minute)
					request := call(c.path)
					c.change(f, request)
					killed := f.startShutdownBefore(arrival)
					arrived := time.Now()
					got := f.serve(request)
					is.True(got.refusal != nil)
					is.True(time.Now().Before(killed))
					is.True(time.Until(killed) > 250*time.Millisecond || time.Now().Equal(arrived)) // in time to be written
					is.Equal(got.refusal.Outcome == saddlegateway.OutcomeNotRun, f.fakeTargets.runs == 0)
					is.Equal(got.refusal.Outcome == saddlegateway.OutcomeNotRun, got.refusal.RetryAfter > 0)
					time.Sleep(time.Until(killed))
				})
			})
		}
	}
}

// Guards against calls being sent that usually take longer than the process has left, and
// against others being refused although they may last longer by their deadlines.
func TestCallsThatUsuallyOutlastTheProcessAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name, path string
		tokens     int
		answer     answerFunc
		served     time.Duration // after SIGTERM; negative: before it
		refused    time.Duration // after SIGTERM
	}{
		{"plain, quick", "/file/", 0, answerAfter(60*time.Millisecond, ok), 7400 * time.Millisecond, 7700 * time.Millisecond},
		{"plain, slow", "/file/", 0, answerAfter(2*time.Second, ok), 3 * time.Second, 4 * time.Second},
		{"idempotent, slow", "/status/", 0, answerAfter(900*time.Millisecond, ok), 5 * time.Second, 7 * time.Second},
		{"stream, quick", "/draft/", 20, pacedEvents(20, 10*time.Millisecond), 7 * time.Second, 7500 * time.Millisecond},
		{"stream that may not be repeated, quick", "/once/", 20, pacedEvents(20, 10*time.Millisecond), 7 * time.Second, 7500 * time.Millisecond},
		{"stream of unknown length, quick", "/once/", 0, pacedEvents(20, 10*time.Millisecond), 7 * time.Second, 7500 * time.Millisecond},
		{"stream longer than it is held", "/draft/", 20, pacedEvents(20, 80*time.Millisecond), -time.Millisecond, 0},
		{"stream almost as long as it is held", "/draft/", 20, pacedEvents(20, 60*time.Millisecond), 5 * time.Second, 7 * time.Second},
		{"stream, slow", "/draft/", 20, pacedEvents(20, 100*time.Millisecond), -time.Millisecond, 0},
		{"stream, long", "/draft/", 20, pacedEvents(20, 150*time.Millisecond), -time.Millisecond, 0},
		{"stream that may not be repeated, long", "/once/", 20, pacedEvents(20, 150*time.Millisecond), -time.Millisecond, 0},
		{"stream of unknown length", "/once/", 0, pacedEvents(20, 100*time.Millisecond), -time.Millisecond, 0},
	} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, refused %t", c.name, refused), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, answerSequence(c.answer))
					f.setTimeouts(t, 20*time.Second)
					request := call(c.path)
					request.MaxOutputTokens = c.tokens
					const before = 100
					for range before {
						is.Equal(f.serve(request).refusal, nil)
					}
					arrival := c.served
					if refused {
						arrival = c.refused
					}
					killed := f.startShutdownBefore(arrival)
					got := f.serve(request)
					is.Equal(got.refusal != nil, refused)
					if refused {
						is.Equal(got.refusal.Code, fireflysaddle.CodeLeaving)
						is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
						is.Equal(len(f.fakeTargets.forwarded()), before)
					} else {
						is.True(!got.aborted)
						is.True(time.Now().Before(killed))
					}
					time.Sleep(time.Until(killed))
				})
			})
		}
	}
}

// Guards against callers waiting at a stopping gateway that waits for control before it refuses them.
func TestCallThatWaitsForControlIsRefusedOnceTheShutdownBegins(t *testing.T) {
	for _, path := range []string{"/file/", "/draft/"} {
		for _, arrival := range []time.Duration{-300 * time.Millisecond, 0, lameDuck} {
			t.Run(fmt.Sprintf("%s, %s after SIGTERM", strings.Trim(path, "/"), arrival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, answerSequence(ok))
					f.setRouting(routing(t), time.Minute) // too old to verify keys by
					killed := f.startShutdownBefore(arrival)
					arrived := time.Now()
					got := f.serve(call(path))
					is.Equal(time.Since(arrived), max(0, -arrival))
					is.Equal(got.refusal.Code, fireflysaddle.CodeLeaving)
					is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
					is.True(got.refusal.RetryAfter > 0)
					time.Sleep(time.Until(killed))
				})
			})
		}
	}
}

// Guards against the first streams of a process being a measure for all: only the shortest
// ones have ended by then.
func TestFirstStreamsAreNoMeasureOfLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, answerSequence(pacedEvents(3, 10*time.Millisecond)))
		f.setTimeouts(t, 20*time.Second)
		request := call("/draft/")
		request.MaxOutputTokens = 300
		const before = 10
		for range before {
			is.Equal(f.serve(request).refusal, nil)
		}
		killed := f.startShutdown()
		time.Sleep(3 * time.Second)
		got := f.serve(request)
		is.True(got.refusal != nil)
		is.Equal(len(f.fakeTargets.forwarded()), before)
		time.Sleep(time.Until(killed))
	})
}

// Guards against a second send that the process may not outlast: the decision on arrival does
// not hold for what is sent after a refusal by a target.
func TestRetryThatMayOutlastTheProcessIsNotSent(t *testing.T) {
	const refusedAt = graceTime - 1100*time.Millisecond // by the first target, after SIGTERM
	for path, arrival := range map[string]time.Duration{
		"/file/": lameDuck - time.Second, "/status/": lameDuck - time.Second,
		"/draft/": -time.Millisecond, "/feed/": -time.Millisecond, // later ones are not sent at all
	} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, answerSequence(answerAfter(refusedAt-arrival, refuse), ok))
				f.setTimeouts(t, 20*time.Second)
				for _, route := range f.gateway.State().Routing.Routes {
					route.EventGapObjective = graceTime // its callers wait for the first target
				}
				killed := f.startShutdownBefore(arrival)
				got := f.serve(call(path))
				is.True(got.refusal != nil)
				is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
				is.Equal(len(f.fakeTargets.forwarded()), 1)
				time.Sleep(time.Until(killed))
			})
		})
	}
}

// Guards against a stream being ended before the process is: its caller can use each event.
func TestStreamInProgressGoesOnUntilTheProcessIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause = 50 * time.Millisecond
		const events = int((graceTime - 100*time.Millisecond) / pause)
		f := newFixture(t, answerSequence(pacedEvents(events, pause)))
		f.setTimeouts(t, 20*time.Second)
		killed := f.startShutdownBefore(-time.Millisecond)
		got := f.serve(call("/draft/"))
		is.True(!got.aborted)
		is.Equal(got.body.String(), eventStream(0, events-1))
		is.True(time.Until(killed) < 200*time.Millisecond)
		time.Sleep(time.Until(killed))
	})
}

// Guards against an answer being cut that begins when the process is about to be killed: its
// caller gets a refusal, unless the answer is there as a whole.
func TestAnswerThatWouldBeCutDoesNotBegin(t *testing.T) {
	const late = graceTime - 200*time.Millisecond
	for _, c := range []struct {
		name, path string
		answer     answerFunc
		whole      bool
	}{
		{"plain", "/file/", answerAfter(late, ok), true},
		{"plain, long", "/file/", answerAfter(late, func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return okReply(strings.Repeat("x", 1<<20)), nil
		}), false},
		{"stream", "/once/", answerAfter(late, answerAll), false},
	} {
		for _, arrival := range []time.Duration{-time.Millisecond, 0} {
			t.Run(fmt.Sprintf("%s, %s after SIGTERM", c.name, arrival), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFixture(t, answerSequence(c.answer)) // does not heed its context
					f.setTimeouts(t, 20*time.Second)
					killed := f.startShutdownBefore(arrival)
					got := f.serve(call(c.path))
					is.Equal(got.refusal == nil, c.whole)
					is.True(!got.aborted)
					if !c.whole {
						is.Equal(got.refusal.Outcome == saddlegateway.OutcomeNotRun, f.fakeTargets.runs == 0)
						is.Equal(f.fakeTargets.runs == 0, c.path == "/once/" && arrival == 0)
						is.Equal(got.status, 0)
					}
					time.Sleep(time.Until(killed))
				})
			})
		}
	}
}

// Guards against quick streams being refused because their caller allows a very long answer: the
// duration for each token that it allows is too short to be measured exactly.
func TestQuickStreamsWithALargeMaximumAreServedDuringTheShutdown(t *testing.T) {
	for _, maximum := range []int{1, 1000, 200_000, 1_000_000} {
		t.Run(fmt.Sprint(maximum), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, answerSequence(pacedEvents(5, 20*time.Millisecond)))
				f.setTimeouts(t, 20*time.Second)
				request := call("/feed/")
				request.MaxOutputTokens = maximum
				for range 200 {
					is.Equal(f.serve(request).refusal, nil)
				}
				killed := f.startShutdown()
				is.Equal(f.serve(request).refusal, nil)
				time.Sleep(time.Until(killed) - 2*time.Second)
				is.Equal(f.serve(request).refusal, nil)
				time.Sleep(time.Until(killed))
			})
		})
	}
}
