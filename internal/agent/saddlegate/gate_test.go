package saddlegate_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlegate"
	"github.com/fireflysaddle/fireflysaddle/internal/agent/saddlequeue"
)

const rate = 100.0 // tokens per second

// demand returns a demand with a service time of one second.
func demand(id string) fireflysaddle.Demand {
	return fireflysaddle.Demand{Request: fireflysaddle.RequestID(id), Workspace: "w", Weight: 1, Tokens: rate}
}

// newFullGate returns a gate whose only slot is in use, and the function that
// releases the slot.
func newFullGate(t *testing.T) (g *saddlegate.Gate, release func()) {
	t.Helper()
	g = saddlegate.New(saddlequeue.New(1, time.Hour, rate))
	release, err := g.Enter(t.Context(), demand("first"))
	if err != nil {
		t.Fatal(err)
	}
	return g, release
}

func code(err error) fireflysaddle.Code {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

func TestQueuedRequestIsRefusedWhenItCannotMeetItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, release := newFullGate(t)
		defer release()
		start := time.Now()
		d := demand("late")
		d.Deadline = start.Add(5 * time.Second)
		_, err := g.Enter(t.Context(), d)
		is.Equal(code(err), fireflysaddle.CodeDeadline)
		is.True(time.Since(start) < 4100*time.Millisecond) // refused when less than the service time of one second is left
		is.Equal(g.Load(time.Now()).Queued, 0)
	})
}

func TestQueuedRequestIsWithdrawnWhenItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, release := newFullGate(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := g.Enter(ctx, demand("gone"))
		is.Equal(code(err), fireflysaddle.CodeDeadline)
		release()
		is.Equal(g.Load(time.Now()).Running, 0)
	})
}

func TestQueuedRequestStartsWhenASlotIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, release := newFullGate(t)
		start := time.Now()
		time.AfterFunc(3*time.Second, release)
		releaseSecond, err := g.Enter(t.Context(), demand("second"))
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second)
		releaseSecond()
		is.Equal(g.Load(time.Now()).Finished, uint64(2))
	})
}

// Guards against requests starting at a target whose agent is stopping.
func TestClosedGateStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, release := newFullGate(t)
		leaving := &fireflysaddle.RefusedError{Code: fireflysaddle.CodeLeaving}
		start := time.Now()
		time.AfterFunc(time.Second, func() { g.Close(time.Now(), leaving) })
		_, err := g.Enter(t.Context(), demand("queued"))
		is.Equal(code(err), fireflysaddle.CodeLeaving)
		is.Equal(time.Since(start), time.Second)
		load := g.Load(time.Now())
		is.Equal(load.Queued, 0)
		is.Equal(load.Running, 1)
		release()
		is.Equal(g.Load(time.Now()).Running, 0)
		_, err = g.Enter(t.Context(), demand("late"))
		is.Equal(code(err), fireflysaddle.CodeLeaving)
	})
}

// Two attempts of one request at one target must not release each other's slot.
func TestAttemptsOfOneRequestHoldSeparateSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, release := newFullGate(t)
		releases := make(chan func())
		for range 2 {
			go func() {
				release, err := g.Enter(t.Context(), demand("twice"))
				if err != nil {
					t.Error(err)
				}
				releases <- release
			}()
		}
		synctest.Wait()
		is.Equal(g.Load(time.Now()).Queued, 2)
		release()
		(<-releases)()
		(<-releases)()
		is.Equal(g.Load(time.Now()).Running, 0)
	})
}
