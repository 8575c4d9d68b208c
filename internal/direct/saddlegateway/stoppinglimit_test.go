package saddlegateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
)

// Guards against callers whom the limits of engines refuse being told by a stopping gateway to return
// at once, or by chance: the limits hold at every entry.
func TestLimitOfEnginesIsToldDuringTheShutdown(t *testing.T) {
	const (
		before = 100
		calls  = 8 // what engines with a limit of one in 4 s have sent them
		tries  = 60
	)
	for range tries {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
				r, err := pacedEvents(10, 5*time.Millisecond)(f)
				if n > before {
					r.Limited, r.Limit = true, 0.25
				}
				return r, err
			})
			f.setTimeouts(t, 20*time.Second)
			serveQuickStreams(t, f, "/draft/")
			for range calls {
				f.serve(call("/draft/"))
			}
			is.Equal(f.serve(call("/draft/")).refusal.Code, fireflysaddle.CodeOverloaded)
			killed := f.startShutdown()
			got := f.serve(call("/draft/"))
			is.Equal(got.refusal.Code, fireflysaddle.CodeOverloaded)
			is.True(got.refusal.RetryAfter > soon)
			time.Sleep(time.Until(killed))
		})
	}
}
