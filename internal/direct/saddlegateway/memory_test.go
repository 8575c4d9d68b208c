package saddlegateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlebudget"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

// scarceMemory suffices for one request, and for no answer beyond its base share.
const scarceMemory = 80 * saddlebudget.KiB

// body returns a body of a length.
func body(length int) string { return strings.Repeat("0123456789", length/10+1)[:length] }

// Guards against sound answers being refused, cut or run once more because there is no memory to
// hold their first part.
func TestAnswersAreWholeWithoutMemory(t *testing.T) {
	for _, path := range []string{"/file/", "/status/", "/feed/"} {
		for _, length := range []int{0, 100, 4 << 10, 100_000, 600_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", path, length), func(t *testing.T) {
				is := is.New(t)
				f := newFixtureWithin(t, saddlebudget.New(scarceMemory), func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					r := okReply(body(length))
					r.Header.Set("Content-Type", "text/plain")
					return r, nil
				})
				got := f.serve(call(path))
				is.Equal(got.status, http.StatusOK)
				is.True(!got.aborted)
				is.True(got.body.String() == body(length))
				is.Equal(f.fakeTargets.runs, 1)
				is.Equal(len(f.log.lines("answer passed on before its first part was complete")) == 1, length > 16<<10)
			})
		}
	}
}

// Guards against an answer whose first part could not be held being taken as whole when it is cut.
func TestCutAnswerIsNotWholeWithoutMemory(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithin(t, saddlebudget.New(scarceMemory), func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return truncatedReply(body(100_000)), nil
	})
	got := f.serve(call("/status/"))
	is.True(got.aborted)
	is.Equal(f.fakeTargets.runs, 1)
}

// Guards against an error answer that is to be retried reaching the caller because its body is
// large.
func TestLargeErrorIsRetriedWithoutMemory(t *testing.T) {
	is := is.New(t)
	f := newFixtureWithin(t, saddlebudget.New(scarceMemory), answerSequence(func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return reply(http.StatusInternalServerError, strings.NewReader(body(600_000))), nil
	}, ok))
	got := f.serve(call("/status/"))
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body.String(), "done")
	is.Equal(f.fakeTargets.runs, 2)
}

// Guards against an event for which there is no memory ending the caller's stream where another
// attempt may follow, and against "not run" being said of a request that may have run.
func TestEventWithoutMemoryEndsItsAttempt(t *testing.T) {
	large := func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return okReply("id: 1\ndata: " + body(100_000) + "\n\n"), nil
	}
	sound := func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return okReply(eventStream(1, 3)), nil }
	t.Run("another attempt", func(t *testing.T) {
		is := is.New(t)
		f := newFixtureWithin(t, saddlebudget.New(scarceMemory), answerSequence(large, sound))
		got := f.serve(call("/draft/"))
		is.Equal(got.body.String(), eventStream(1, 3))
		is.True(!got.aborted)
		is.Equal(len(f.log.lines("attempt ended: no memory for an event")), 1)
	})
	t.Run("no other attempt", func(t *testing.T) {
		is := is.New(t)
		f := newFixtureWithin(t, saddlebudget.New(scarceMemory), answerSequence(large))
		got := f.serve(call("/draft/"))
		is.True(got.refusal != nil)
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
	})
	t.Run("enough memory", func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, answerSequence(large))
		got := f.serve(call("/draft/"))
		is.Equal(got.body.Len(), len("id: 1\ndata: \n\n")+100_000)
		is.Equal(f.fakeTargets.runs, 1)
	})
}

// Guards against requests waiting, or being sent, for which the memory does not suffice.
func TestRequestBeyondTheMemoryIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	begun, end := make(chan struct{}), make(chan struct{})
	f := newFixtureWithin(t, saddlebudget.New(scarceMemory), func(n int, _ fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		if n == 1 {
			close(begun)
			<-end
		}
		return okReply("done"), nil
	})
	first := make(chan *fakeResponder)
	go func() { first <- f.serve(call("/file/")) }()
	<-begun
	began := time.Now()
	second := f.serve(call("/file/"))
	is.True(time.Since(began) < time.Second/2)
	is.True(second.refusal != nil)
	is.Equal(second.refusal.Code, fireflysaddle.CodeOverloaded)
	is.Equal(second.refusal.Outcome, saddlegateway.OutcomeNotRun)
	is.True(second.refusal.RetryAfter > 0)
	close(end)
	is.Equal((<-first).status, http.StatusOK)
	is.Equal(f.serve(call("/file/")).status, http.StatusOK)
	is.Equal(len(f.fakeTargets.forwarded()), 2)
}
