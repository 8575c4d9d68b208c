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

// lostStage has a chain stall at an engine of which another one holds the layers, too.
func lostStage(t *testing.T, answer func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error)) *fixture {
	t.Helper()
	f := newFixture(t, answer)
	f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
		Id: "engine-a-2x", Group: "drafts", Address: "engine-a-2x", Centre: "a", Accelerator: "big", Incarnation: 1,
		Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
	}}})
	f.fleet.Update(f.builder.Build())
	f.targets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: f.targets.forwarded()[0].Chain[1].Address}}}, nil
	}
	return f
}

// resumable yields some events, and the others once its chain was changed, unless its
// context ends before that.
type resumable struct {
	first, rest io.Reader
	changed     chan struct{}
	ctx         context.Context
}

func (b *resumable) use(ctx context.Context) { b.ctx = ctx }

func (b *resumable) Close() error { return nil }

// resumes answers with events of which the later ones come once the chain was changed.
func resumes(changed chan struct{}) func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := reply(http.StatusOK, nil)
		r.Body = &resumable{first: strings.NewReader(events(0, 3)), rest: strings.NewReader(events(4, last)), changed: changed}
		return r, nil
	}
}

func (b *resumable) Read(p []byte) (int, error) {
	if n, err := b.first.Read(p); err == nil {
		return n, nil
	}
	select {
	case <-b.changed:
		return b.rest.Read(p)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func TestAStreamGoesOnAlongAnotherChain(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{})
	f := lostStage(t, resumes(changed))
	var chain []fireflysaddle.ChainPart
	f.targets.reroute = func(request fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		is.Equal(string(request), "r1")
		chain = c
		close(changed)
		return nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), events(0, last))
	sent := f.targets.forwarded()
	is.Equal(len(sent), 1) // no further attempt
	is.Equal(len(chain), 2)
	is.Equal(chain[0], sent[0].Chain[0]) // the head stays
	is.True(chain[1].Address != sent[0].Chain[1].Address)
	is.Equal(chain[1].From, 2)
	is.Equal(chain[1].To, layers)
	is.Equal(fmt.Sprint(f.fleet.CentreLoads()), "[]") // nothing stays reserved
}

// Where the head does not go on along the other chain, another attempt does.
func TestAStreamThatIsNotReroutedIsSentAgain(t *testing.T) {
	is := is.New(t)
	f := lostStage(t, answers(silentAt(3), rest))
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), events(0, last))
	sent := f.targets.forwarded()
	is.Equal(len(sent), 2)
	is.Equal(sent[1].LastEventID, eventID(3))
	is.Equal(fmt.Sprint(f.fleet.CentreLoads()), "[]")
}

// Two engines of a chain are lost at once: the head names the second one.
func TestAChainIsReroutedPastAnEngineThatRefusesItsPart(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{})
	f := lostStage(t, resumes(changed))
	f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
		Id: "engine-a-2y", Group: "drafts", Address: "engine-a-2y", Centre: "a", Accelerator: "big", Incarnation: 1,
		Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
	}}})
	f.fleet.Update(f.builder.Build())
	var tried []string
	f.targets.reroute = func(_ fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		tried = append(tried, c[1].Address)
		if len(tried) == 1 {
			return &fireflysaddle.OrderError{Status: fireflysaddle.OrderStale, FaultyEngine: c[1].Address}
		}
		close(changed)
		return nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), events(0, last))
	is.Equal(len(f.targets.forwarded()), 1)
	is.Equal(len(tried), 2)
	is.True(tried[0] != tried[1])
}

// A stream that may not be sent again waits for an engine that takes over the layers
// of a lost one.
func TestAStreamThatMayNotBeSentAgainWaitsForASpare(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{})
	f := newFixture(t, resumes(changed))
	f.targets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: "engine-a-2"}}}, nil
	}
	f.targets.reroute = func(_ fireflysaddle.RequestID, c []fireflysaddle.ChainPart) error {
		is.Equal(c[1].Address, "engine-a-2x")
		close(changed)
		return nil
	}
	spare := time.AfterFunc(500*time.Millisecond, func() {
		f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
			Id: "engine-a-2x", Group: "drafts", Address: "engine-a-2x", Centre: "a", Accelerator: "big", Incarnation: 1,
			Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
		}}})
		f.fleet.Update(f.builder.Build())
	})
	defer spare.Stop()
	got := f.serve(call("/once/"))
	is.True(!got.aborted)
	is.Equal(got.body.String(), events(0, last))
	is.Equal(len(f.targets.forwarded()), 1)
}

// A head that refuses the new chain for now is asked again, where no other attempt may
// follow.
func TestAHeadThatRefusesForNowIsAskedAgain(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{})
	f := lostStage(t, resumes(changed))
	asked := 0
	f.targets.reroute = func(fireflysaddle.RequestID, []fireflysaddle.ChainPart) error {
		asked++
		if asked == 1 {
			return &fireflysaddle.OrderError{Status: fireflysaddle.OrderStale}
		}
		close(changed)
		return nil
	}
	got := f.serve(call("/once/"))
	is.Equal(got.body.String(), events(0, last))
	is.Equal(asked, 2)
	is.Equal(len(f.targets.forwarded()), 1)
}
