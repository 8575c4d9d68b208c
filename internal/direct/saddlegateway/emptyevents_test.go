package saddlegateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

// withoutEvent are blocks that carry no event to the caller.
var withoutEvent = map[string]string{
	"empty lines":     "\n",
	"comments":        ": ping\n\n",
	"unknown fields":  "foo: x\n\n",
	"identifiers":     "id: 5\n\n",
	"event types":     "event: ping\n\n",
	"one event again": "id: 0\ndata: token 0\n\n",
}

// repeatingBody yields start, and then the same block until its context ends, each time after
// a pause. It fails after endlessBytes.
type repeatingBody struct {
	timedBody
	block string
	read  int
}

func (b *repeatingBody) Read(p []byte) (int, error) {
	if len(b.events) > b.timedBody.read {
		return b.timedBody.Read(p)
	}
	if b.read >= endlessBytes {
		return 0, errReset
	}
	if pause := b.pause(b.timedBody.read); pause > 0 {
		select {
		case <-time.After(pause):
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	n := copy(p, b.block)
	b.read += n
	return n, nil
}

// repeatBlock answers with the first events and then repeats a block, at an interval or without
// a pause.
func repeatBlock(events int, block string, interval time.Duration) *repeatingBody {
	return &repeatingBody{
		timedBody: timedBody{
			events: strings.SplitAfter(eventStream(0, events-1), "\n\n")[:events],
			pause:  func(int) time.Duration { return interval },
		},
		block: block,
	}
}

// dispatched returns the events of a stream, without the blocks that have no data.
func dispatched(stream string) string {
	var out strings.Builder
	for block := range strings.SplitSeq(stream, "\n\n") {
		if block = strings.Trim(block, "\n"); strings.Contains(block, "data:") {
			out.WriteString(block + "\n\n")
		}
	}
	return out.String()
}

const (
	pingInterval = 100 * time.Millisecond
	// endlessBytes stands for a body without end. A test of one that is read without a bound ends
	// there.
	endlessBytes = 1 << 20
	// maxUselessBytes bounds what is read of it, with what the reader has buffered.
	maxUselessBytes = 80 << 10
)

// Guards against a target that sends no event but something else ten times a second being taken
// for one that works: its callers left without a byte.
func TestStreamWithoutEventsContinuesElsewhere(t *testing.T) {
	for name, block := range withoutEvent {
		for _, events := range []int{0, 4} {
			if events == 0 && name == "one event again" {
				continue
			}
			for _, path := range []string{"/draft/", "/feed/"} {
				t.Run(strings.Join([]string{name, path, eventID(events)}, " "), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
							if n > 1 {
								return answerRest(f)
							}
							r := okReply("")
							r.Body = repeatBlock(events, block, pingInterval)
							return r, nil
						})
						began := time.Now()
						got := f.serve(call(path))
						is.True(time.Since(began) < time.Duration(events)*pingInterval+2*time.Second) // a caller disconnects after two seconds without an event
						is.Equal(dispatched(got.body.String()), eventStream(0, lastEventID))
						is.Equal(len(f.fakeTargets.forwarded()), 2)
						if events == 0 {
							is.Equal(got.body.String(), eventStream(0, lastEventID)) // the target without events has not begun the answer
						}
						time.Sleep(time.Second) // calls for reports may outlast the streams
					})
				})
			}
		}
	}
}

// Guards against a target that repeats what the caller has already received being taken for one
// that makes progress.
func TestRepeatedEventsAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n > 1 {
				return answerRest(f)
			}
			r := okReply("")
			r.Body = repeatBlock(8, "\n", 500*time.Millisecond)
			return r, nil
		})
		resumed := call("/draft/")
		resumed.LastEventID = eventID(7)
		began := time.Now()
		got := f.serve(resumed)
		is.True(time.Since(began) < 2*time.Second) // a caller disconnects after two seconds without an event
		is.Equal(got.body.String(), eventStream(8, lastEventID))
		time.Sleep(time.Second) // calls for reports may outlast the streams
	})
}

// Guards against a target that sends no events as fast as it can: each block of it was read,
// counted as an event and passed on until the deadline.
func TestFloodWithoutEventsFailsTheAttempt(t *testing.T) {
	for name, block := range withoutEvent {
		for _, events := range []int{0, 4} {
			if events == 0 && name == "one event again" {
				events = 1
			}
			for path, retried := range map[string]bool{"/draft/": true, "/feed/": true, "/once/": false} {
				t.Run(strings.Join([]string{name, path, eventID(events)}, " "), func(t *testing.T) {
					is := is.New(t)
					var flood *repeatingBody
					f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
						if n > 1 {
							return answerRest(f)
						}
						flood = repeatBlock(events, block, 0)
						r := okReply("")
						r.Body = flood
						return r, nil
					})
					got := f.serve(call(path))
					is.True(flood.read < maxUselessBytes)
					if !retried {
						is.True(got.aborted || got.refusal.Outcome == saddlegateway.OutcomeUnknown)
						is.Equal(len(f.fakeTargets.forwarded()), 1)
						return
					}
					is.Equal(dispatched(got.body.String()), eventStream(0, lastEventID))
					sent := f.fakeTargets.forwarded()
					is.Equal(len(sent), 2)
					is.True(sent[1].Address != sent[0].Address)
					line := strings.Join(f.log.lines("attempt failed"), "")
					is.True(strings.Contains(line, `"events":`+eventID(events)+`,"attempt_events":`+eventID(events)))
				})
			}
		}
	}
}

// Pattern: a sound engine is slow, and sends a comment ten times a second meanwhile, also before
// its first event. Guards against its answer being cut or changed: the signature of an answer
// covers its bytes.
func TestCommentsOfASlowTargetAreHarmless(t *testing.T) {
	for _, path := range []string{"/once/", "/draft/"} {
		for _, comment := range []string{": ping\n\n", "\n", ": ping\r\n\r\n", "retry: 3000\n\n"} {
			t.Run(path+comment, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					var blocks []string
					for _, e := range strings.SplitAfter(eventStream(0, lastEventID), "\n\n")[:lastEventID+1] {
						for range 12 {
							blocks = append(blocks, comment)
						}
						blocks = append(blocks, e)
					}
					blocks = append(blocks, comment)
					f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
						r := okReply("")
						r.Body = &timedBody{events: blocks, pause: func(int) time.Duration { return pingInterval }}
						return r, nil
					})
					r := routing(t)
					for _, route := range r.Routes {
						route.Timeout = time.Minute
					}
					f.setRouting(r, 0)
					got := f.serve(call(path))
					is.Equal(got.body.String(), strings.Join(blocks, ""))
					is.Equal(len(f.fakeTargets.forwarded()), 1)
					lines := f.log.lines("request ended")
					is.Equal(len(lines), 1)
					is.True(strings.Contains(lines[0], `"first_ms":1300,"events":10,"longest_pause_ms":1300`))
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// timedResponder records when it received the parts of an answer.
type timedResponder struct {
	fakeResponder
	began time.Time
	parts []timedPart
}

type timedPart struct {
	after time.Duration
	text  string
}

func (c *timedResponder) Begin(r *fireflysaddle.Reply) error {
	c.parts = append(c.parts, timedPart{time.Since(c.began), "header"})
	return c.fakeResponder.Begin(r)
}

func (c *timedResponder) Write(p []byte) error {
	c.parts = append(c.parts, timedPart{time.Since(c.began), string(p)})
	return c.fakeResponder.Write(p)
}

// Guards against an answer that begins with a comment, and against comments that keep a
// connection open being held until the next event.
func TestCommentsArePassedOnOnceTheAnswerHasBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply("")
			r.Body = &timedBody{events: []string{": a\n\n", eventStream(0, 0), ": b\n\n", eventStream(1, 1)}, pause: func(int) time.Duration { return pingInterval }}
			return r, nil
		})
		c := &timedResponder{began: time.Now()}
		f.gateway.Serve(context.Background(), func() time.Time { return f.now }, call("/once/"), c)
		is.Equal(c.parts, []timedPart{
			{2 * pingInterval, "header"},
			{2 * pingInterval, ": a\n\n" + eventStream(0, 0)},
			{3 * pingInterval, ": b\n\n"},
			{4 * pingInterval, eventStream(1, 1)},
		})
	})
}

// Guards against a body of comments being taken for a complete stream because its connection
// ended, and against events being lost because an identifier without data announced them.
func TestBlocksWithoutDataEndNoStreamAndSkipNoEvent(t *testing.T) {
	for name, c := range map[string]struct {
		first string
		want  string
	}{
		"comments":                     {": ping\n\n: ping\n\n", eventStream(0, lastEventID)},
		"comment after the last line":  {": ping\n\n: ping\n", eventStream(0, lastEventID)},
		"identifiers":                  {"id: 7\n\n", eventStream(0, lastEventID)},
		"identifier between events":    {eventStream(0, 3) + "id: 7\n\nid: 4\nda", eventStream(0, lastEventID)},
		"comments, then half an event": {": ping\n\nid: 0\nda", eventStream(0, lastEventID)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answerSequence(func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
				return closedReply(c.first), nil
			}, answerRest))
			got := f.serve(call("/draft/"))
			is.Equal(got.body.String(), c.want)
			is.True(!got.aborted)
			is.Equal(len(f.fakeTargets.forwarded()), 2)
		})
	}
}

// Guards against the checks of a further attempt being given up because the streams of an engine
// begin with a reconnection time, and against such a stream being taken for an error.
func TestFurtherAttemptIsCheckedBesideBlocksWithoutData(t *testing.T) {
	const retry = "retry: 3000\n\n"
	truncated := func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		return truncatedReply(retry + eventStream(0, 4)), nil
	}
	for name, c := range map[string]struct {
		second  string
		aborted bool
	}{
		"continues":            {retry + eventStream(5, lastEventID), false},
		"error, not numbered":  {"data: failed\n\n", true},
		"error after the time": {retry + "data: failed\n\n", true},
		"without the time":     {eventStream(5, lastEventID), false},
		"nothing left to send": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, answerSequence(truncated, func(fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
				return reply(http.StatusOK, strings.NewReader(c.second)), nil
			}))
			got := f.serve(call("/draft/"))
			is.Equal(got.aborted, c.aborted)
			want := retry + eventStream(0, 4)
			if !c.aborted {
				want += c.second
			}
			is.Equal(got.body.String(), want)
		})
	}
}

// Guards against comments outranking a probe that got no answer, as events do.
func TestCommentsOutrankNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			r := okReply("")
			r.Body = repeatBlock(2, ": ping\n\n", pingInterval)
			return r, nil
		})
		go f.serve(call("/once/"))
		time.Sleep(time.Second)
		f.fleet.RequestProbe(time.Now(), "engine-a-0")
		began := time.Now()
		probed := f.fleet.StartDueProbes(began)
		time.Sleep(200 * time.Millisecond)
		for _, p := range probed {
			f.gateway.RecordProbe(time.Now(), began, p, fireflysaddle.EngineReport{}, context.DeadlineExceeded)
		}
		is.Equal(f.fleet.FirstExcluded([]string{"engine-a-0"}), "engine-a-0")
		time.Sleep(6 * time.Second) // the route's timeout
	})
}
