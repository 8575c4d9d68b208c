package saddleretry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/entry/saddleretry"
)

const span = 10 * time.Second

func TestWindowShareMayBeUsedAtOnce(t *testing.T) {
	is := is.New(t)
	w := saddleretry.NewWindow(0.2, 2, span)
	for i := range 50 {
		w.RecordFirstAttempt(epoch.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	now := epoch.Add(5 * time.Second)
	for range 12 {
		is.True(w.TakeRetry(now))
	}
	is.True(!w.TakeRetry(now))
	is.True(!w.TakeRetry(now.Add(span - time.Millisecond)))
	is.True(w.TakeRetry(now.Add(span + span/50))) // the first attempts no longer count, but the reserve is available
}

func TestGrantedRetriesExpire(t *testing.T) {
	is := is.New(t)
	w := saddleretry.NewWindow(0.1, 1, span)
	w.Grant(2, epoch.Add(time.Second))
	is.True(w.TakeRetry(epoch))
	is.True(w.TakeRetry(epoch))
	is.True(!w.TakeRetry(epoch.Add(time.Second)))
}

// In any span the number of retries must be at most the reserve plus the share of the
// first attempts. The span in which first attempts are counted is longer by the
// resolution of the window.
func TestRetriesOfAnySpanAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := saddleretry.NewWindow(0.2, 3, span)
		var firstAttempts, retries []time.Time
		now := epoch
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if w.TakeRetry(now) {
					retries = append(retries, now)
				}
				continue
			}
			w.RecordFirstAttempt(now)
			firstAttempts = append(firstAttempts, now)
		}
		countBetween := func(list []time.Time, from, to time.Time) int {
			n := 0
			for _, at := range list {
				if !at.Before(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			// An interval is 1/100 of the span. Intervals expire as a whole, so first attempts
			// count for longer than the span; two intervals cover the difference.
			firstCount := countBetween(firstAttempts, end.Add(-span-span/50), end)
			if n := countBetween(retries, end.Add(-span+time.Millisecond), end); float64(n) > 3+0.2*float64(firstCount) {
				t.Fatalf("%d retries for %d first attempts", n, firstCount)
			}
		}
	})
}
