package saddlegateway_test

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// reportLog records when reports were requested of engines that work.
type reportLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *reportLog) report(address string) (fireflysaddle.EngineReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
	from := int(address[len(address)-1] - '0')
	return fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: from, To: from + 2}}}, nil
}

func (l *reportLog) requests() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.at...)
}

// longAnswer answers with 60 events. pause is the time before an event.
func longAnswer(pause func(event int) time.Duration) *fireflysaddle.Reply {
	events := strings.SplitAfter(eventStream(0, 59), "\n\n")
	r := okReply("")
	r.Body = &timedBody{events: events[:len(events)-1], pause: pause}
	return r
}

// newEvidenceFixture returns a fixture with one chain, whose reports are recorded.
func newEvidenceFixture(t *testing.T, pause func(n, event int) time.Duration) (*fixture, *reportLog) {
	t.Helper()
	l := &reportLog{}
	f := newFixture(t, func(n int, _ fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return longAnswer(func(event int) time.Duration { return pause(n, event) }), nil
	})
	f.removeCentreB()
	f.fakeTargets.report = l.report
	return f, l
}

// serveFor starts n calls, one each 3 ms, and waits for d.
func (f *fixture) serveFor(n int, d time.Duration) {
	for range n {
		go f.serve(call("/once/"))
		time.Sleep(3 * time.Millisecond)
	}
	time.Sleep(d)
}

// Pattern: a busy head lets forty streams wait for 500 ms.
func TestFortySilentStreamsAtOneBusyHeadAskOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, l := newEvidenceFixture(t, func(_, event int) time.Duration { return silentFor(500 * time.Millisecond)(event) })
		f.serveFor(40, 5*time.Second)
		is.True(len(l.requests()) >= 1)
		is.True(len(l.requests()) <= 5) // one in reportMaxAge, whichever stream asks
	})
}

// Pattern: a chain serves many streams and lets one wait.
func TestEnginesWithEventsPassingNeedNoProbe(t *testing.T) {
	for name, c := range map[string]struct {
		silence time.Duration // of the first stream
		atMost  int           // requests for reports
	}{
		"it waits for its turn":                       {500 * time.Millisecond, 0},
		"only the report shows a link that is broken": {1400 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, l := newEvidenceFixture(t, func(n, event int) time.Duration {
					if n == 1 {
						return silentFor(c.silence)(event)
					}
					return usualEventPause
				})
				f.serveFor(20, 1500*time.Millisecond)
				is.True(len(l.requests()) <= c.atMost)
				is.Equal(len(l.requests()) > 0, c.atMost > 0)
				is.Equal(len(f.fleet.StartDueProbes(time.Now())), 0)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// Pattern: the second engine of a chain that serves many streams dies, and their events end.
// The evidence of the events before must not delay the first question.
func TestDeadEngineIsAskedAboutAsSoonAsItsEventsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		died := time.Now().Add(600 * time.Millisecond)
		f, l := newEvidenceFixture(t, func(int, int) time.Duration {
			if time.Now().Add(usualEventPause).After(died) {
				return time.Hour
			}
			return usualEventPause
		})
		f.serveFor(20, 720*time.Millisecond)
		is.True(len(l.requests()) > 0)
		is.True(l.requests()[0].Sub(died) <= 90*time.Millisecond) // minEventGapCheck
		due := f.fleet.StartDueProbes(time.Now())
		is.Equal(len(due), 1)
		is.Equal(string(due[0].ID), "engine-a-2") // the head has answered
		time.Sleep(6 * time.Second)
	})
}

// A head that does not answer at once is probed beside the request for its report.
func TestHeadThatReportsLateIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := newEvidenceFixture(t, func(_, event int) time.Duration { return silentFor(time.Hour)(event) })
		f.fakeTargets.report = lateReport
		go f.serve(call("/once/"))
		time.Sleep(120*time.Millisecond + 90*time.Millisecond + 21*time.Millisecond) // events, check, usualReportTime
		probed := map[string]bool{}
		for _, p := range f.fleet.StartDueProbes(time.Now()) {
			probed[p.Address] = true
		}
		is.True(probed["engine-a-0"])
		time.Sleep(6 * time.Second)
	})
}
