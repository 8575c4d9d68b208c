package saddlegateway_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// lateBody is a body that comes after a time, unless its request has ended.
type lateBody struct {
	wait time.Duration
	text string
	ctx  context.Context
}

func (b *lateBody) setContext(ctx context.Context) { b.ctx = ctx }

func (b *lateBody) Close() error { return nil }

func (b *lateBody) Read(p []byte) (int, error) {
	if b.wait > 0 {
		select {
		case <-time.After(b.wait):
			b.wait = 0
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	n := copy(p, b.text)
	if b.text = b.text[n:]; n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Guards against a slow attempt being ended during the shutdown for another one that is then not
// sent, although the slow one would have answered in time.
func TestSlowAttemptIsNotEndedForOneThatIsNotSent(t *testing.T) {
	const before = 100
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n <= before {
				return answerAfter(800*time.Millisecond, ok)(f)
			}
			r := okReply("")
			r.Body = &lateBody{wait: 1500 * time.Millisecond, text: "done"}
			return r, nil
		})
		f.setTimeouts(t, 20*time.Second)
		for range before {
			is.Equal(f.serve(call("/status/")).refusal, nil)
		}
		killed := f.startShutdown()
		time.Sleep(graceTime - 2200*time.Millisecond)
		got := f.serve(call("/status/"))
		is.Equal(got.refusal, nil)
		is.Equal(got.body.String(), "done")
		time.Sleep(time.Until(killed))
	})
}

// Guards against an attempt that is sent during the shutdown, beside one that was sent before it and
// has no event, beginning the answer before it is whole: the quick stream turns slow.
func TestHedgeSentDuringTheShutdownDoesNotBeginTheAnswer(t *testing.T) {
	const (
		before = 100
		lossAt = 110 * time.Millisecond // after the call was sent
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply("")
			switch {
			case n <= before:
				return pacedEvents(10, 5*time.Millisecond)(f)
			case n == before+1:
				r.Body = &silentBody{Reader: strings.NewReader("")}
			default:
				r.Body = &silentBody{Reader: strings.NewReader(eventStream(0, 4))}
			}
			return r, nil
		})
		f.fakeTargets.report = lateReport
		f.setTimeouts(t, 20*time.Second)
		serveQuickStreams(t, f, "/draft/")
		killed := f.startShutdownBefore(-10 * time.Millisecond)
		time.AfterFunc(lossAt, func() {
			f.fleet.MarkDown(time.Now(), f.fakeTargets.forwarded()[before].Address, "late")
		})
		ctx, cancel := context.WithDeadline(t.Context(), killed)
		defer cancel()
		got := &fakeResponder{}
		f.gateway.Serve(ctx, func() time.Time { return f.now }, call("/draft/"), got)
		is.Equal(got.status, 0)
		time.Sleep(time.Second)
	})
}
