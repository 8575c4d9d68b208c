package saddlegateway_test

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// pacedBody yields one event at a time, each after a pause. Every sixth pause is half as
// long again as the others.
type pacedBody struct {
	events []string
	pause  time.Duration
	read   int
}

func (b *pacedBody) Close() error { return nil }

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.read == len(b.events) {
		return 0, io.EOF
	}
	pause := b.pause
	if b.read%6 == 5 {
		pause += pause / 2
	}
	time.Sleep(pause)
	n := copy(p, b.events[b.read])
	b.read++
	return n, nil
}

// reportsWhileServing serves drafts whose events come with the given pause, and returns how
// often the gateway asked heads for reports and probed engines.
func reportsWhileServing(t *testing.T, pause time.Duration, drafts int) int {
	t.Helper()
	var reports atomic.Int64
	f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := okReply("")
		r.Body = &pacedBody{events: strings.SplitAfter(eventStream(0, lastEventID), "\n\n")[:lastEventID+1], pause: pause}
		return r, nil
	})
	f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
		reports.Add(1)
		return fireflysaddle.EngineReport{}, nil
	}
	for range drafts {
		if got := f.serve(call("/draft/")); got.aborted || got.refusal != nil {
			t.Fatal("draft not answered")
		}
	}
	return int(reports.Load())
}

// Pattern: events hold four tokens, so that they come twice as far apart as those of two
// tokens, on a fleet that works as it should. The gateway must learn what is usual, or it
// asks for reports during almost every stream of the fleet.
func TestUsualPausesCauseNoReports(t *testing.T) {
	for _, pause := range []time.Duration{33 * time.Millisecond, 70 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const drafts = 100
				is.True(reportsWhileServing(t, pause, drafts) <= drafts/10)
			})
		})
	}
}
