package saddlegateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// newStalledFixture returns a fixture in which the chain stalls at an engine whose
// layers another engine holds as well.
func newStalledFixture(t *testing.T, answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)) *fixture {
	t.Helper()
	f := newFixture(t, answer)
	f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
		Id: "engine-a-2x", Group: "drafts", Address: "engine-a-2x", Centre: "a", Accelerator: "big", Incarnation: 1,
		Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
	}}})
	f.fleet.Update(time.Now(), f.builder.Build())
	f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: f.fakeTargets.forwarded()[0].Chain[1].Address}}}, nil
	}
	return f
}

// reroutableBody yields some events, and the remaining ones after its chain was
// rerouted, unless its context ends first.
type reroutableBody struct {
	beforeReroute, afterReroute io.Reader
	rerouted                    chan struct{}
	ctx                         context.Context
}

func (b *reroutableBody) setContext(ctx context.Context) { b.ctx = ctx }

func (b *reroutableBody) Close() error { return nil }

// answerAfterReroute returns an answer whose later events are only available after the
// chain was rerouted.
func answerAfterReroute(rerouted chan struct{}) func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := reply(http.StatusOK, nil)
		r.Body = &reroutableBody{beforeReroute: strings.NewReader(eventStream(0, 3)), afterReroute: strings.NewReader(eventStream(4, lastEventID)), rerouted: rerouted}
		return r, nil
	}
}

func (b *reroutableBody) Read(p []byte) (int, error) {
	if n, err := b.beforeReroute.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-b.rerouted:
		return b.afterReroute.Read(p)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func TestStalledStreamContinuesOnReroutedChain(t *testing.T) {
	is := is.New(t)
	rerouted := make(chan struct{})
	f := newStalledFixture(t, answerAfterReroute(rerouted))
	var chain []fireflysaddle.ChainPart
	f.fakeTargets.reroute = func(request fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		is.Equal(string(request), "r1")
		chain = c
		close(rerouted)
		return nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	sent := f.fakeTargets.forwarded()
	is.Equal(len(sent), 1) // no further attempt
	is.Equal(len(chain), 2)
	is.Equal(chain[0], sent[0].Chain[0]) // the head is unchanged
	is.True(chain[1].Address != sent[0].Chain[1].Address)
	is.Equal(chain[1].From, 2)
	is.Equal(chain[1].To, layers)
	is.Equal(fmt.Sprint(f.fleet.SectionLoads()), "[]") // all reservations are released
}

// If the head refuses to reroute the stream, a further attempt continues it.
func TestStreamIsRetriedWhenRerouteIsRefused(t *testing.T) {
	is := is.New(t)
	f := newStalledFixture(t, answerSequence(stallAfter(3), answerRest))
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	sent := f.fakeTargets.forwarded()
	is.Equal(len(sent), 2)
	is.Equal(sent[1].LastEventID, eventID(3))
	is.Equal(fmt.Sprint(f.fleet.SectionLoads()), "[]")
}

// Two engines are lost at once: the head reports the second one as the cause of its
// refusal, and the next chain avoids it.
func TestRerouteAvoidsEngineThatRefusesItsPart(t *testing.T) {
	is := is.New(t)
	rerouted := make(chan struct{})
	f := newStalledFixture(t, answerAfterReroute(rerouted))
	f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
		Id: "engine-a-2y", Group: "drafts", Address: "engine-a-2y", Centre: "a", Accelerator: "big", Incarnation: 1,
		Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
	}}})
	f.fleet.Update(time.Now(), f.builder.Build())
	var tried []string
	f.fakeTargets.reroute = func(_ fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		tried = append(tried, c[1].Address)
		if len(tried) == 1 {
			return &fireflysaddle.OrderError{Status: fireflysaddle.OrderStale, FaultyEngine: c[1].Address}
		}
		close(rerouted)
		return nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	is.Equal(len(f.fakeTargets.forwarded()), 1)
	is.Equal(len(tried), 2)
	is.True(tried[0] != tried[1])
}

// A stream that cannot be retried waits for an engine that takes over the layers of a
// lost one.
func TestNonRetryableStreamWaitsForSpareEngine(t *testing.T) {
	is := is.New(t)
	rerouted := make(chan struct{})
	f := newFixture(t, answerAfterReroute(rerouted))
	f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: "engine-a-2"}}}, nil
	}
	f.fakeTargets.reroute = func(_ fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		is.Equal(c[1].Address, "engine-a-2x")
		close(rerouted)
		return nil
	}
	spare := time.AfterFunc(500*time.Millisecond, func() {
		f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
			Id: "engine-a-2x", Group: "drafts", Address: "engine-a-2x", Centre: "a", Accelerator: "big", Incarnation: 1,
			Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
		}}})
		f.fleet.Update(time.Now(), f.builder.Build())
	})
	defer spare.Stop()
	got := f.serve(call("/once/"))
	is.True(!got.aborted)
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	is.Equal(len(f.fakeTargets.forwarded()), 1)
}

// If the head refuses the new chain temporarily and no retry is possible, the reroute
// is attempted again.
func TestRerouteIsRepeatedAfterTemporaryRefusal(t *testing.T) {
	is := is.New(t)
	rerouted := make(chan struct{})
	f := newStalledFixture(t, answerAfterReroute(rerouted))
	rerouteRequests := 0
	f.fakeTargets.reroute = func(fireflysaddle.RequestID, []fireflysaddle.ChainPart) error {
		rerouteRequests++
		if rerouteRequests == 1 {
			return &fireflysaddle.OrderError{Status: fireflysaddle.OrderStale}
		}
		close(rerouted)
		return nil
	}
	got := f.serve(call("/once/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	is.Equal(rerouteRequests, 2)
	is.Equal(len(f.fakeTargets.forwarded()), 1)
}
