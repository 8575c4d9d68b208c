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

const rate = 100.0 // tokens a second

func demand(id string) fireflysaddle.Demand {
	return fireflysaddle.Demand{Request: fireflysaddle.RequestID(id), Workspace: "w", Weight: 1, Tokens: rate}
}

// full returns a gate whose only slot is taken, and the function that frees it.
func full(t *testing.T) (g *saddlegate.Gate, leave func()) {
	t.Helper()
	g = saddlegate.New(saddlequeue.New(1, time.Hour, rate))
	leave, err := g.Enter(t.Context(), demand("first"))
	if err != nil {
		t.Fatal(err)
	}
	return g, leave
}

func code(err error) fireflysaddle.Code {
	var refused *fireflysaddle.RefusedError
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

func TestAQueuedRequestIsRefusedAsSoonAsItCannotMeetItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, leave := full(t)
		defer leave()
		start := time.Now()
		d := demand("late")
		d.Deadline = start.Add(5 * time.Second)
		_, err := g.Enter(t.Context(), d)
		is.Equal(code(err), fireflysaddle.CodeDeadline)
		is.True(time.Since(start) < 4100*time.Millisecond) // a second of work before the deadline
		is.Equal(g.Load(time.Now()).Queued, 0)
	})
}

func TestAQueuedRequestLeavesWhenItsCallerDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, leave := full(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := g.Enter(ctx, demand("gone"))
		is.Equal(code(err), fireflysaddle.CodeDeadline)
		leave()
		is.Equal(g.Load(time.Now()).Running, 0)
	})
}

func TestAQueuedRequestStartsWhenASlotIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, leave := full(t)
		start := time.Now()
		time.AfterFunc(3*time.Second, leave)
		second, err := g.Enter(t.Context(), demand("second"))
		is.NoErr(err)
		is.Equal(time.Since(start), 3*time.Second)
		second()
		is.Equal(g.Load(time.Now()).Finished, uint64(2))
	})
}

// Two attempts of one request at one target must not free each other's slot.
func TestTwoAttemptsOfOneRequestCountAsTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, leave := full(t)
		entered := make(chan func())
		for range 2 {
			go func() {
				leave, err := g.Enter(t.Context(), demand("twice"))
				if err != nil {
					t.Error(err)
				}
				entered <- leave
			}()
		}
		synctest.Wait()
		is.Equal(g.Load(time.Now()).Queued, 2)
		leave()
		(<-entered)()
		(<-entered)()
		is.Equal(g.Load(time.Now()).Running, 0)
	})
}
