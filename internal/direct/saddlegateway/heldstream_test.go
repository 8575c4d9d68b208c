package saddlegateway_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

// serveQuickStreams lets a gateway measure streams of ten events, one each 5 ms.
func serveQuickStreams(t *testing.T, f *fixture, path string) {
	t.Helper()
	for range 100 {
		if got := f.serve(call(path)); got.refusal != nil {
			t.Fatalf("refused: %v", got.refusal)
		}
	}
}

// turnSlowAfter answers with ten events, one each 5 ms, and after a number of requests with the first
// half of them only.
func turnSlowAfter(requests int) func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		if n <= requests {
			return pacedEvents(10, 5*time.Millisecond)(f)
		}
		r := okReply("")
		r.Body = &silentBody{Reader: strings.NewReader(eventStream(0, 4))}
		return r, nil
	}
}

// Guards against a stream that a stopping gateway has accepted as a quick one beginning and being
// cut: its engine stops sending after the first events.
func TestQuickStreamThatTurnsSlowDuringTheShutdownDoesNotBegin(t *testing.T) {
	const (
		path   = "/feed/"
		before = 100
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, turnSlowAfter(before))
		f.setTimeouts(t, 20*time.Second)
		for _, route := range f.gateway.State().Routing.Routes {
			route.MaxAttempts = 1
		}
		serveQuickStreams(t, f, path)
		killed := f.startShutdown()
		got := f.serve(call(path))
		is.True(time.Now().Before(killed))
		is.Equal(len(f.fakeTargets.forwarded()), before+1)
		is.Equal(got.status, 0) // no head without a whole answer
		is.True(got.refusal != nil)
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
		time.Sleep(time.Until(killed))
	})
}

// Guards against a held stream losing, repeating or reordering blocks when it is sent.
func TestHeldStreamIsSentWhole(t *testing.T) {
	const body = ": hello\n\n" + "id: 1\ndata: a\n\n" + ": pause\n\n" + "id: 1\ndata: a\n\n" + "id: 2\ndata: b\n\n" + ": end\n\n"
	const want = ": hello\n\n" + "id: 1\ndata: a\n\n" + ": pause\n\n" + "id: 2\ndata: b\n\n" + ": end\n\n"
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return okReply(body), nil })
		f.setTimeouts(t, 20*time.Second)
		serveQuickStreams(t, f, "/draft/")
		killed := f.startShutdown()
		got := f.serve(call("/draft/"))
		is.Equal(got.refusal, nil)
		is.Equal(got.body.String(), want)
		time.Sleep(time.Until(killed))
	})
}

// Guards against streams that wait for a chain when the shutdown begins being sent during it, or
// waiting on: another gateway can serve them.
func TestStreamThatWaitsWhenTheShutdownBeginsIsRefusedAtOnce(t *testing.T) {
	const waited = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, answerDrafts)
		f.setTimeouts(t, 20*time.Second)
		request := call("/draft/")
		request.PromptTokens = 1 << 30 // no chain has room
		began := time.Now()
		killed := began.Add(waited + graceTime)
		time.AfterFunc(waited, func() { f.startShutdown() })
		got := f.serve(request)
		is.Equal(time.Since(began), waited)
		is.Equal(got.refusal.Code, fireflysaddle.CodeLeaving)
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
		is.True(got.refusal.RetryAfter > 0 && got.refusal.RetryAfter < soon)
		time.Sleep(time.Until(killed))
	})
}

// Guards against a large plain answer that begins during the shutdown being cut: its target stops
// sending after a part that is longer than what is read before other answers begin.
func TestLargeAnswerThatStopsDuringTheShutdownDoesNotBegin(t *testing.T) {
	const part = 600 << 10
	for _, path := range []string{"/file/", "/status/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					r := okReply("")
					r.Body = &silentBody{Reader: strings.NewReader(strings.Repeat("x", part))}
					return r, nil
				})
				f.setTimeouts(t, 20*time.Second)
				for _, route := range f.gateway.State().Routing.Routes {
					route.MaxAttempts = 1
				}
				killed := f.startShutdown()
				got := f.serve(call(path))
				is.True(time.Now().Before(killed))
				is.Equal(got.status, 0)
				is.True(got.refusal != nil)
				is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
				time.Sleep(time.Until(killed))
			})
		})
	}
}

// Guards against a large answer that is held being refused or changed: it is whole in time.
func TestLargeAnswerIsHeldAndSentWhole(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", 40<<10)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, answerSequence(answerAfter(50*time.Millisecond, func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return okReply(want), nil
		})))
		f.setTimeouts(t, 20*time.Second)
		killed := f.startShutdown()
		got := f.serve(call("/file/"))
		is.Equal(got.refusal, nil)
		is.True(got.body.String() == want)
		time.Sleep(time.Until(killed))
	})
}

// Guards against a held stream being given up later than its caller waits.
func TestHeldStreamIsGivenUpWhileItsCallerWaits(t *testing.T) {
	const before = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, turnSlowAfter(before))
		f.setTimeouts(t, 20*time.Second)
		serveQuickStreams(t, f, "/feed/")
		killed := f.startShutdown()
		began := time.Now()
		got := f.serve(call("/feed/"))
		is.True(time.Since(began) < callerPatience)
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
		time.Sleep(time.Until(killed))
	})
}

// Guards against a held stream whose first attempt fails being joined of two attempts.
func TestHeldStreamOfTwoAttemptsIsWhole(t *testing.T) {
	const before = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n == before+1 {
				return truncatedReply(eventStream(0, 4)), nil
			}
			return pacedEvents(10, 5*time.Millisecond)(f)
		})
		f.setTimeouts(t, 20*time.Second)
		serveQuickStreams(t, f, "/draft/")
		killed := f.startShutdown()
		got := f.serve(call("/draft/"))
		is.Equal(got.refusal, nil)
		is.Equal(f.fakeTargets.forwarded()[before+1].LastEventID, "")
		is.Equal(got.body.String(), eventStream(0, 9))
		time.Sleep(time.Until(killed))
	})
}
