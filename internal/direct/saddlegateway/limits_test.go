package saddlegateway_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// Pattern: all engines that can begin drafts limit them to a fifth of what callers send. What
// they take is begun, in the order of arrival, and the rest is refused at once.
// Guards against drafts that wait in vain, and against a limit that stays unused.
func TestDraftsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const (
			limit    = 5 // requests per second of each of two engines
			interval = 20 * time.Millisecond
			loadTime = 20 * time.Second
		)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply(eventStream(0, lastEventID))
			r.Limited, r.Limit = true, limit
			return r, nil
		})
		began := time.Now()
		var mu sync.Mutex
		answered, refused := 0, 0
		var wg sync.WaitGroup
		for time.Since(began) < loadTime {
			wg.Go(func() {
				arrived := time.Now()
				got := f.serve(call("/draft/"))
				mu.Lock()
				defer mu.Unlock()
				if got.refusal == nil {
					answered++
					return
				}
				refused++
				is.True(time.Since(arrived) < interval)
				is.True(got.refusal.RetryAfter > 0)
				is.True(got.refusal.RetryAfter < 3*time.Second)
			})
			time.Sleep(interval)
		}
		wg.Wait()
		t.Logf("%d drafts were answered, %d refused", answered, refused)
		is.Equal(refused+answered, int(loadTime/interval))
		is.True(answered <= 2*limit*(int(loadTime/time.Second)+2))
		is.True(answered >= 2*limit*int(loadTime/time.Second)*8/10)
	})
}

// Pattern: the same load, and one draft in ten is interrupted after it has begun.
// Guards against interrupted drafts that wait behind drafts that have not begun.
func TestInterruptedDraftsGoOnBeforeOthersBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, _ fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply(eventStream(0, lastEventID))
			if n%10 == 0 {
				r = truncatedReply(eventStream(0, 4))
			}
			r.Limited, r.Limit = true, 5
			return r, nil
		})
		var aborted atomic.Int64
		var wg sync.WaitGroup
		for range 1000 { // 20 seconds
			wg.Go(func() {
				if f.serve(call("/draft/")).aborted {
					aborted.Add(1)
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		wg.Wait()
		is.True(len(f.log.lines("attempt failed")) >= 15)
		is.Equal(aborted.Load(), int64(0))
	})
}

// Pattern: every target of a plain service limits its requests. Those beyond the limits are
// refused at once, and their callers return when more are accepted.
func TestRequestsBeyondTheLimitsOfAServiceAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply("done")
			r.Limited, r.Limit = true, 2
			return r, nil
		})
		answered := 0
		for range 1000 { // ten seconds
			arrived := time.Now()
			got := f.serve(call("/file/"))
			is.True(time.Since(arrived) < 10*time.Millisecond)
			if got.refusal == nil {
				answered++
			} else {
				is.True(got.refusal.RetryAfter <= 2*time.Second)
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(answered >= 3*2*8)
		is.True(answered <= 3*2*12)
	})
}

// What cannot be read is logged, and neither states nor ends a limit.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, _ fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply("done")
			r.Limited, r.Limit = n <= 3, 1000
			if n > 3 {
				r.InvalidLimit = "soon"
			}
			return r, nil
		})
		for range 9 {
			is.Equal(f.serve(call("/file/")).refusal, nil)
			time.Sleep(time.Second)
		}
		is.Equal(len(f.log.lines("limit of a target not understood")), 6)
		is.Equal(len(f.fleet.Limits(time.Now())), 3)
	})
}
