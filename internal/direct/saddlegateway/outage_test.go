package saddlegateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
)

// outageAfter is how long the requests have run when the outage begins.
const outageAfter = 30 * time.Millisecond

// outageDesks are the plain targets of several entries. An outage ends all of them while
// requests run there.
type outageDesks struct {
	*crashingDesks
	outage chan struct{} // closed when it begins; nil after it
}

func newOutageDesks(t *testing.T, entries int) *outageDesks {
	t.Helper()
	d := &outageDesks{crashingDesks: &crashingDesks{ended: map[string]bool{}, started: 1}, outage: make(chan struct{})}
	for range entries {
		d.entries = append(d.entries, newFixture(t, d.answer))
	}
	for _, f := range d.entries {
		f.fakeTargets.ended = d.hasEnded
	}
	return d
}

func (d *outageDesks) answer(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	d.mu.Lock()
	ended, outage := d.ended[f.Address], d.outage
	d.mu.Unlock()
	switch {
	case ended:
		return nil, &fireflysaddle.NotSentError{Address: f.Address}
	case outage == nil:
		return okReply("data: done\n\n"), nil
	}
	<-outage
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended[f.Address] = true
	return nil, &fireflysaddle.TargetError{Target: f.Target, Err: errReset}
}

// end ends all targets that run requests.
func (d *outageDesks) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.outage)
	d.outage = nil
}

// Pattern: an outage ends all targets of a service while identical requests, such as those for
// one status page, run at each of them.
// Guards against a request that is refused for minutes although it ends no target.
func TestIdenticalRequestsInAnOutageAreServedAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		desks := newOutageDesks(t, 3)
		detector := saddlequarantine.New()
		var wg sync.WaitGroup
		for _, f := range desks.entries {
			for range 3 {
				wg.Go(func() { f.serve(identicalCall("/status/", "page", "key")) })
			}
		}
		time.Sleep(outageAfter)
		desks.end()
		wg.Wait()
		synctest.Wait()
		is.True(len(desks.ended) >= 3)
		exchange(time.Now(), detector, desks.entries...)
		desks.restart()
		time.Sleep(3 * time.Second)
		for _, f := range desks.entries {
			is.Equal(f.serve(identicalCall("/status/", "page", "key")).body.String(), "data: done\n\n")
		}
	})
}
