package saddlegateway_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const lastEventID = 9 // identifier of the last event of a stream

// answerRest answers with the events after the last one that the caller received.
func answerRest(f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	from := 0
	for i := range lastEventID {
		if f.LastEventID == eventID(i) {
			from = i + 1
		}
	}
	return okReply(eventStream(from, lastEventID)), nil
}

func eventID(i int) string { return string(rune('0' + i)) }

// truncateAfter answers with the events up to n and part of the next one.
func truncateAfter(n int) answerFunc {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return truncatedReply(eventStream(0, n) + "id: " + eventID(n+1) + "\nda"), nil
	}
}

// closeAfter answers without framing: the events up to n and part of the next one, then an
// orderly close.
func closeAfter(n int, part string) answerFunc {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return closedReply(eventStream(0, n) + part), nil
	}
}

// stallAfter answers with the events up to n and then blocks.
func stallAfter(n int) answerFunc {
	return func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := okReply("")
		r.Body = &silentBody{Reader: strings.NewReader(eventStream(0, n))}
		return r, nil
	}
}

// answerAll answers with all events, regardless of those already received.
func answerAll(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	return okReply(eventStream(0, lastEventID)), nil
}

func TestStreamIsCompleteOrAborted(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		steps    []answerFunc
		complete bool // otherwise the answer is aborted
		sends    int
	}{
		{"answered", "/draft/", []answerFunc{answerRest}, true, 1},
		{"truncated within an event", "/draft/", []answerFunc{truncateAfter(4), answerRest}, true, 2},
		{"truncated before the first event", "/draft/", []answerFunc{truncateAfter(-1), answerRest}, true, 2},
		{"stalled in the middle", "/draft/", []answerFunc{stallAfter(4), answerRest}, true, 2},
		{"retry repeats delivered events", "/draft/", []answerFunc{truncateAfter(4), answerAll}, true, 2},
		{"head unreachable", "/draft/", []answerFunc{refuseConnection, answerRest}, true, 2},
		{"refused by an engine of the chain", "/draft/", []answerFunc{refuse, answerRest}, true, 2},
		{"answer of the head lost", "/draft/", []answerFunc{loseAnswer, answerRest}, true, 2},
		{"closed within an event", "/draft/", []answerFunc{closeAfter(4, "id: 5\nda"), answerRest}, true, 2},
		{"closed before the empty line of an event", "/draft/", []answerFunc{closeAfter(4, "id: 5\ndata: token 5\n"), answerRest}, true, 2},
		{"closed before the first event", "/draft/", []answerFunc{closeAfter(-1, ""), answerRest}, true, 2},
		{"closed after the last event", "/draft/", []answerFunc{closeAfter(lastEventID, "")}, true, 1},
		{"closed within an event, not resumable", "/once/", []answerFunc{closeAfter(4, "id: 5\nda"), answerRest}, false, 1},
		{"of a plain service, truncated", "/feed/", []answerFunc{truncateAfter(4), answerRest}, true, 2},
		{"of a plain service, closed within an event", "/feed/", []answerFunc{closeAfter(4, "id: 5\nda"), answerRest}, true, 2},
		{"truncated twice", "/draft/", []answerFunc{truncateAfter(4), truncateAfter(6)}, false, 2},
		{"not resumable", "/once/", []answerFunc{truncateAfter(4), answerRest}, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFixture(t, answerSequence(c.steps...))
			f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
				return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "other", Address: "engine-a-2"}}}, nil
			}
			got := f.serve(call(c.path))
			is.Equal(len(f.fakeTargets.forwarded()), c.sends)
			is.Equal(got.aborted, !c.complete)
			if c.complete {
				is.Equal(got.body.String(), eventStream(0, lastEventID)) // each event once and in order
			} else {
				is.True(strings.HasPrefix(eventStream(0, lastEventID), got.body.String()))
			}
		})
	}
}

func TestForwardedChainCoversEveryLayerOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(truncateAfter(2), answerRest))
	f.serve(call("/draft/"))
	for _, sent := range f.fakeTargets.forwarded() {
		nextLayer := 0
		is.Equal(sent.Chain[0].Address, sent.Address) // the request is sent to the head
		for _, p := range sent.Chain {
			is.Equal(p.From, nextLayer)
			nextLayer = p.To
		}
		is.Equal(nextLayer, layers)
	}
}

// An engine at which a chain stalled is not part of the chain of the retry.
func TestRetryAvoidsStalledEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(stallAfter(3), answerRest))
	f.fakeTargets.report = func(string) (fireflysaddle.EngineReport, error) {
		return fireflysaddle.EngineReport{Stalled: []fireflysaddle.StalledRequest{{Request: "r1", Address: "engine-a-2"}}}, nil
	}
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	sent := f.fakeTargets.forwarded()
	is.Equal(sent[1].LastEventID, eventID(3))
	is.True(!slices.ContainsFunc(sent[1].Chain, func(p fireflysaddle.ChainPart) bool { return p.Address == "engine-a-2" }))
}

// Once the departure of an engine is known, the engine is not part of any new chain.
func TestDepartingEngineGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(answerRest))
	f.serve(call("/draft/"))
	is.Equal(f.fakeTargets.forwarded()[0].Address, "engine-a-0")
	f.builder.Update("control", &saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "engine-a-0", Incarnation: 1}}})
	f.fleet.Update(time.Now(), f.builder.Build())
	f.serve(call("/draft/"))
	is.Equal(f.fakeTargets.forwarded()[1].Address, "engine-b-0")
}

func TestStreamWithoutCapacityIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(answerRest))
	huge := call("/draft/")
	huge.PromptTokens = 1 << 30
	began := time.Now()
	got := f.serve(huge)
	is.True(time.Since(began) < 2*time.Second) // a caller disconnects after two seconds without an event
	is.Equal(got.refusal.Code, fireflysaddle.CodeOverloaded)
	is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
	is.True(got.refusal.RetryAfter > 0)
	is.Equal(len(f.fakeTargets.forwarded()), 0)
}

// A process that is shutting down refuses streams that it may have to interrupt.
func TestStreamThatMayOutlastProcessIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		timeLeft time.Duration
		refused  bool
	}{"enough time": {8 * time.Second, false}, "too little time": {time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answerSequence(answerRest))
			now := time.Now()
			f.gateway.StartShutdown(now, now, now.Add(c.timeLeft))
			got := f.serve(call("/draft/"))
			is.Equal(got.refusal != nil, c.refused)
			if c.refused {
				is.Equal(got.refusal.Code, fireflysaddle.CodeLeaving)
				is.Equal(len(f.fakeTargets.forwarded()), 0)
			}
		})
	}
}

// When the caller disconnects, the stream of the engine is closed.
func TestCallerDisconnectClosesEngineStream(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		r := okReply("")
		r.Body = &closeNotifyBody{silentBody: silentBody{Reader: strings.NewReader(eventStream(0, 2))}, closed: closed}
		return r, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	c := &fakeResponder{}
	f.gateway.Serve(ctx, func() time.Time { return f.now }, call("/draft/"), c)
	<-closed
	is.True(c.aborted)
	is.Equal(len(f.fakeTargets.forwarded()), 1)
}

type closeNotifyBody struct {
	silentBody
	closed chan struct{}
}

func (b *closeNotifyBody) Close() error {
	close(b.closed)
	return nil
}

// Pattern: the head of a chain answers its drafts with errors while its probe is good
// (srv_grey). After two of them the entry's drafts begin at another head, and no further
// retries are used up.
func TestHeadThatAnswersErrorsIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ int, fw fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		if fw.Address == "engine-a-0" {
			return reply(http.StatusInternalServerError, strings.NewReader("failed")), nil
		}
		return answerRest(fw)
	})
	const drafts = 20
	for range drafts {
		got := f.serve(call("/draft/"))
		is.True(!got.aborted)
		is.Equal(got.refusal, nil)
	}
	is.True(len(f.fakeTargets.forwarded()) <= drafts+2)
}

// Guards against both attempts of a stream being lost at the same head, which breaks off
// some streams while its probe is good and is the cheapest one.
func TestRetryBeginsAtAnotherHead(t *testing.T) {
	is := is.New(t)
	for _, failure := range []answerFunc{truncateAfter(4), closeAfter(4, "id: 5\nda"), loseAnswer, internalError} {
		f := newFixture(t, answerSequence(failure, answerRest))
		f.serve(call("/draft/"))
		sent := f.fakeTargets.forwarded()
		is.Equal(sent[0].Address, "engine-a-0")
		is.Equal(sent[1].Address, "engine-b-0")
	}
}

// A head that has failed a stream is tried again if no other chain has capacity.
func TestRetryBeginsAtTheOnlyHead(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(truncateAfter(4), answerRest))
	f.builder.Update("control", &saddlewire.Update{Departures: []*saddlewire.Departure{{Target: "engine-b-0", Incarnation: 1}}})
	f.fleet.Update(time.Now(), f.builder.Build())
	began := time.Now()
	got := f.serve(call("/draft/"))
	is.Equal(got.body.String(), eventStream(0, lastEventID))
	is.Equal(f.fakeTargets.forwarded()[1].Address, "engine-a-0")
	is.True(time.Since(began) < time.Second) // it does not wait for another
}
