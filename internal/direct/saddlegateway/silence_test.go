package saddlegateway_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// timedBody yields one event at a time, each after a pause, until its context ends.
type timedBody struct {
	events []string
	pause  func(event int) time.Duration
	read   int
	ctx    context.Context
}

func (b *timedBody) setContext(ctx context.Context) { b.ctx = ctx }

func (b *timedBody) Close() error { return nil }

func (b *timedBody) Read(p []byte) (int, error) {
	if b.read == len(b.events) {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pause(b.read)):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	n := copy(p, b.events[b.read])
	b.read++
	return n, nil
}

// timedAnswer answers with the events after the last one that the caller received. pause is
// the time before an event.
func timedAnswer(f fireflysaddle.Forward, pause func(event int) time.Duration) (*fireflysaddle.Reply, error) {
	rest := eventStream(0, lastEventID)
	if f.LastEventID != "" {
		_, after, _ := strings.Cut(rest, "id: "+f.LastEventID+"\n")
		_, rest, _ = strings.Cut(after, "\n\n")
	}
	events := strings.SplitAfter(rest, "\n\n")
	r := okReply("")
	r.Body = &timedBody{events: events[:len(events)-1], pause: pause}
	return r, nil
}

const (
	usualEventPause = 30 * time.Millisecond
	silentEvent     = 4 // event of an answer before which a target is silent
)

// silentFor returns the pauses of a target that is silent once, for the duration d.
func silentFor(d time.Duration) func(int) time.Duration {
	return func(event int) time.Duration {
		if event == silentEvent {
			return d
		}
		return usualEventPause
	}
}

// serveMany serves n calls at a time and returns how many were answered completely.
func (f *fixture) serveMany(n int, path string) (complete int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			got := f.serve(call(path))
			mu.Lock()
			defer mu.Unlock()
			if !got.aborted && got.body.String() == eventStream(0, lastEventID) {
				complete++
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // calls for reports may outlast the streams
	return complete
}

// withoutRetries takes the retry budget from a fixture.
func (f *fixture) withoutRetries() {
	f.gateway.SetLimits(saddlegateway.Limits{KeyLease: 4 * time.Second})
}

// Guards against streams that are cut because their sound target is silent for 1.7 s,
// although no other attempt can continue them.
func TestSilentTargetIsNotCutWhereNoAttemptFollows(t *testing.T) {
	silent := silentFor(1700 * time.Millisecond)
	for name, c := range map[string]struct {
		path    string
		prepare func(f *fixture)
		first   answerFunc // nil: the silent target is the first
	}{
		"not resumable":          {path: "/once/"},
		"of a plain service":     {path: "/feed/", prepare: (*fixture).withoutRetries},
		"no attempt left":        {path: "/draft/", first: truncateAfter(2)},
		"no retry left":          {path: "/draft/", prepare: (*fixture).withoutRetries},
		"no other engine usable": {path: "/draft/", prepare: (*fixture).removeCentreB},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					if n == 1 && c.first != nil {
						return c.first(f)
					}
					return timedAnswer(f, silent)
				})
				if c.prepare != nil {
					c.prepare(f)
				}
				is.Equal(f.serveMany(1, c.path), 1)
			})
		})
	}
}

// removeCentreB removes the engines of data centre b.
func (f *fixture) removeCentreB() {
	u := &saddlewire.Update{}
	for _, id := range []string{"engine-b-0", "engine-b-2"} {
		u.Departures = append(u.Departures, &saddlewire.Departure{Target: id, Incarnation: 1})
	}
	f.builder.Update("control", u)
	f.fleet.Update(time.Now(), f.builder.Build())
}

// Guards against all streams of a head being cut because its reports take 300 ms, while
// events arrive every 180 ms.
func TestSlowReportsCutNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, func(int) time.Duration { return 180 * time.Millisecond })
		})
		f.fakeTargets.report = lateReport
		const drafts = 20
		is.Equal(f.serveMany(drafts, "/draft/"), drafts)
		is.Equal(len(f.fakeTargets.forwarded()), drafts) // no further attempts
	})
}

// lateReport is a report that does not arrive within the time limit.
func lateReport(address string) (fireflysaddle.EngineReport, error) {
	time.Sleep(200 * time.Millisecond)
	return fireflysaddle.EngineReport{}, &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(address), Err: context.DeadlineExceeded}
}

// Pattern: an entry is held up for half a second, while it applies a configuration with many
// routes. It then has no events and no report from a sound head through which 27 drafts pass,
// more than its retry budget covers. Guards against cutting those that get no retry.
func TestSuspectedHeadCutsNoStream(t *testing.T) {
	for _, path := range []string{"/draft/", "/once/"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					return timedAnswer(f, silentFor(500*time.Millisecond))
				})
				f.fakeTargets.report = lateReport
				const drafts = 27
				is.Equal(f.serveMany(drafts, path), drafts)
			})
		})
	}
}

// A stream without further attempts ends at once when its head has certainly ended.
func TestStreamOfAnEndedHeadIsNotHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, silentFor(time.Hour))
		})
		f.fakeTargets.report = func(address string) (fireflysaddle.EngineReport, error) {
			return fireflysaddle.EngineReport{}, &fireflysaddle.NotSentError{Address: address, Err: syscall.ECONNREFUSED}
		}
		began := time.Now()
		got := f.serve(call("/once/"))
		is.True(got.aborted)
		is.True(time.Since(began) < time.Second)
	})
}

// Guards against a fixed limit on the silence of targets: the route decides how long callers
// wait, and a further attempt begins before they leave.
func TestSilentStreamContinuesBeforeItsCallerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		gapObjective time.Duration
		silence      time.Duration // of the first target
		sends        int
		within       time.Duration // longest time to the end of the answer
	}{
		"silent for good":                  {silence: time.Hour, sends: 2, within: 2 * time.Second},
		"silent for long, patient callers": {gapObjective: 500 * time.Millisecond, silence: 2500 * time.Millisecond, sends: 1, within: 3 * time.Second},
		"silent for good, patient callers": {gapObjective: 500 * time.Millisecond, silence: time.Hour, sends: 2, within: 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					if n == 1 {
						return timedAnswer(f, silentFor(c.silence))
					}
					return answerRest(f)
				})
				r := routing(t)
				for _, route := range r.Routes {
					route.EventGapObjective = c.gapObjective
				}
				f.setRouting(r, 0)
				began := time.Now()
				got := f.serve(call("/draft/"))
				is.True(time.Since(began) < c.within)
				is.Equal(got.body.String(), eventStream(0, lastEventID))
				is.Equal(len(f.fakeTargets.forwarded()), c.sends)
			})
		})
	}
}

// Guards against a request that ends without its answer because its target is slow and no
// retry is left.
func TestSlowTargetIsAwaitedWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, silentFor(1200*time.Millisecond))
		})
		f.withoutRetries()
		got := f.serve(call("/status/"))
		is.Equal(got.refusal, nil)
		is.Equal(got.body.String(), eventStream(0, lastEventID))
	})
}

// Guards against an engine being taken out of use because it answers probes late, while
// streams make progress at it.
func TestProgressOutranksAnUnansweredProbe(t *testing.T) {
	for name, c := range map[string]struct {
		pause    time.Duration // between the events of a stream
		err      error
		excluded bool
	}{
		"events arrive":                  {180 * time.Millisecond, context.DeadlineExceeded, false},
		"no event arrives":               {time.Hour, context.DeadlineExceeded, true},
		"the engine has certainly ended": {180 * time.Millisecond, syscall.ECONNREFUSED, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					return timedAnswer(f, func(int) time.Duration { return c.pause })
				})
				go f.serve(call("/once/"))
				time.Sleep(time.Second)
				f.fleet.RequestProbe(time.Now(), "engine-a-0")
				began := time.Now()
				probed := f.fleet.StartDueProbes(began)
				time.Sleep(200 * time.Millisecond)
				for _, p := range probed {
					f.gateway.RecordProbe(time.Now(), began, p, fireflysaddle.EngineReport{}, c.err)
				}
				is.Equal(f.fleet.FirstExcluded([]string{"engine-a-0"}) != "", c.excluded)
				time.Sleep(6 * time.Second) // the route's timeout
			})
		})
	}
}

// Pattern: engines are lost while there is little capacity. Guards against streams that hold
// the capacity of a broken chain although their head confirms the loss and a retry is left.
func TestConfirmedLossReleasesTheChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, answerSequence(stallAfter(3), answerRest))
		f.removeCentreB()
		f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
			return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: "engine-a-2"}}}, nil
		}
		go f.serve(call("/draft/"))
		time.Sleep(600 * time.Millisecond)
		is.Equal(len(f.fleet.SectionLoads()), 0)
		time.Sleep(6 * time.Second) // the route's timeout
	})
}
