package saddlegateway_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const last = 9 // identifier of a draft's last event

// rest answers with the events that the caller lacks.
func rest(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	from := 0
	for i := range last {
		if f.LastEventID == eventID(i) {
			from = i + 1
		}
	}
	return whole(events(from, last)), nil
}

func eventID(i int) string { return string(rune('0' + i)) }

// tornAt answers with events up to one, and part of the next.
func tornAt(n int) step {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return broken(events(0, n) + "id: " + eventID(n+1) + "\nda"), nil
	}
}

// silentAt answers with events up to one and then nothing.
func silentAt(n int) step {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := whole("")
		r.Body = &silentBody{Reader: strings.NewReader(events(0, n))}
		return r, nil
	}
}

// repeats answers with all events again.
func repeats(fireflysaddle.Forward) (*fireflysaddle.Reply, error) { return whole(events(0, last)), nil }

func TestStreamsAreWholeOrBreakOff(t *testing.T) {
	for _, c := range []struct {
		name  string
		path  string
		steps []step
		whole bool // else the answer breaks off
		sends int
	}{
		{"answered", "/draft/", []step{rest}, true, 1},
		{"broken in an event", "/draft/", []step{tornAt(4), rest}, true, 2},
		{"broken before the first event", "/draft/", []step{tornAt(-1), rest}, true, 2},
		{"silent in the middle", "/draft/", []step{silentAt(4), rest}, true, 2},
		{"goes on with events that were had", "/draft/", []step{tornAt(4), repeats}, true, 2},
		{"head unreachable", "/draft/", []step{unreachable, rest}, true, 2},
		{"part refused", "/draft/", []step{full, rest}, true, 2},
		{"head lost", "/draft/", []step{lost, rest}, true, 2},
		{"broken twice", "/draft/", []step{tornAt(4), tornAt(6)}, false, 2},
		{"may not go on elsewhere", "/once/", []step{tornAt(4), rest}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answers(c.steps...))
			f.targets.report = func(string) (fireflysaddle.EngineReport, error) {
				return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "other", Address: "engine-a-2"}}}, nil
			}
			got := f.serve(call(c.path))
			is.Equal(len(f.targets.forwarded()), c.sends)
			is.Equal(got.aborted, !c.whole)
			if c.whole {
				is.Equal(got.body.String(), events(0, last)) // each event once and in order
			} else {
				is.True(strings.HasPrefix(events(0, last), got.body.String()))
			}
		})
	}
}

func TestEveryLayerOnceAndInOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(tornAt(2), rest))
	f.serve(call("/draft/"))
	for _, sent := range f.targets.forwarded() {
		at := 0
		is.Equal(sent.Chain[0].Address, sent.Address) // the head is sent the request
		for _, p := range sent.Chain {
			is.Equal(p.From, at)
			at = p.To
		}
		is.Equal(at, layers)
	}
}

// An engine for which a chain stalls is not part of the next one.
func TestAStalledEngineIsLeftOut(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(silentAt(3), rest))
	f.targets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: "engine-a-2"}}}, nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), events(0, last))
	sent := f.targets.forwarded()
	is.Equal(sent[1].LastEventID, eventID(3))
	is.True(!slices.ContainsFunc(sent[1].Chain, func(p fireflysaddle.ChainPart) bool { return p.Address == "engine-a-2" }))
}

// An engine that leaves is part of no chain from the moment on that it is known.
func TestAnEngineThatLeavesGetsNothingNew(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(rest))
	f.serve(call("/draft/"))
	is.Equal(f.targets.forwarded()[0].Address, "engine-a-0")
	f.builder.Update("control", &saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "engine-a-0", Incarnation: 1}}})
	f.fleet.Update(f.builder.Build())
	f.serve(call("/draft/"))
	is.Equal(f.targets.forwarded()[1].Address, "engine-b-0")
}

func TestADraftThatFindsNoRoomIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answers(rest))
	huge := call("/draft/")
	huge.PromptTokens = 1 << 30
	began := time.Now()
	got := f.serve(huge)
	is.True(time.Since(began) < 2*time.Second) // its caller is still there
	is.Equal(got.refusal.Code, fireflysaddle.CodeOverloaded)
	is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
	is.True(got.refusal.RetryAfter > 0)
	is.Equal(len(f.targets.forwarded()), 0)
}

// A process that was told to stop takes no draft that it may have to cut.
func TestADraftThatOutlastsTheProcessIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		left    time.Duration
		refused bool
	}{"time enough": {8 * time.Second, false}, "too little time": {time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answers(rest))
			f.gateway.SetShutdownDeadline(time.Now().Add(c.left))
			got := f.serve(call("/draft/"))
			is.Equal(got.refusal != nil, c.refused)
			if c.refused {
				is.Equal(got.refusal.Code, fireflysaddle.CodeLeaving)
				is.Equal(len(f.targets.forwarded()), 0)
			}
		})
	}
}

// When the caller leaves, the engine's stream is closed.
func TestACallerThatLeavesEndsTheStream(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := whole("")
		r.Body = &closing{silentBody: silentBody{Reader: strings.NewReader(events(0, 2))}, closed: closed}
		return r, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	c := &caller{}
	f.gateway.Serve(ctx, func() time.Time { return f.now }, call("/draft/"), c)
	<-closed
	is.True(c.aborted)
	is.Equal(len(f.targets.forwarded()), 1)
}

type closing struct {
	silentBody
	closed chan struct{}
}

func (b *closing) Close() error {
	close(b.closed)
	return nil
}
