package saddlegateway_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Guards against a stream that is cut because the chains that are to continue it refuse it,
// while its own target is only silent.
func TestRefusedHedgeLeavesTheAttemptAsItIs(t *testing.T) {
	for _, refusing := range []string{"engine-b-2", "engine-b-0"} {
		t.Run(refusing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					if n == 1 {
						return timedAnswer(f, silentFor(1700*time.Millisecond))
					}
					return notRunReply(refusing), nil
				})
				is.Equal(f.serveMany(1, "/draft/"), 1)
				is.Equal(f.fakeTargets.runs, 1)
			})
		})
	}
}

// Pattern: 27 drafts pass through a sound head that is suspected for half a second, and all
// other chains are full.
func TestSuspectedStreamsGoOnWhileOtherChainsRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const drafts = 27
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n <= drafts {
				return timedAnswer(f, silentFor(500*time.Millisecond))
			}
			return notRunReply("engine-b-0"), nil
		})
		f.fakeTargets.report = lateReport
		is.Equal(f.serveMany(drafts, "/draft/"), drafts)
	})
}

// Guards against "not run" being said of a stream whose hedge was accepted, and against
// more runs than the route allows.
func TestAcceptedHedgeCountsAsARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n == 1 {
				return timedAnswer(f, func(int) time.Duration { return time.Hour })
			}
			return truncatedReply("id: 0\nda"), nil
		})
		got := f.serve(call("/draft/"))
		is.Equal(len(f.fakeTargets.forwarded()), 2) // MaxAttempts
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
		time.Sleep(time.Second) // a call for a report may outlast the stream
	})
}

// Guards against reports that a busy engine resets being taken for its loss.
func TestResetReportsReplaceNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, func(int) time.Duration { return 180 * time.Millisecond })
		})
		f.fakeTargets.report = func(address string) (fireflysaddle.EngineReport, error) {
			return fireflysaddle.EngineReport{}, &fireflysaddle.TargetError{Target: fireflysaddle.TargetID(address), Err: syscall.ECONNRESET}
		}
		const drafts = 20
		is.Equal(f.serveMany(drafts, "/draft/"), drafts)
		is.Equal(len(f.fakeTargets.forwarded()), drafts)
	})
}

// Guards against cutting the rest of a stream whose head has finished and no longer knows the
// request, while the entry has not read it.
func TestRestOfAFinishedHeadIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, silentFor(500*time.Millisecond))
		})
		f.builder.Update("control", &saddlewire.Update{Registrations: []*saddlewire.Registration{{
			Id: "engine-a-2x", Group: "drafts", Address: "engine-a-2x", Centre: "a", Accelerator: "big", Incarnation: 1,
			Layers: []*saddlewire.HeldLayers{{From: 2, To: 4}},
		}}})
		f.fleet.Update(time.Now(), f.builder.Build())
		time.AfterFunc(200*time.Millisecond, func() {
			f.fleet.MarkDown(time.Now(), f.fakeTargets.forwarded()[0].Chain[1].Address, "late")
		})
		is.Equal(f.serveMany(1, "/once/"), 1)
	})
}

// An engine that refused the request for lack of room is avoided for a short time only, also
// by a stream that has no event after that.
func TestEngineThatRefusedIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			switch n {
			case 1:
				return notRunReply("engine-a-0"), nil
			case 2:
				return timedAnswer(f, silentFor(time.Hour))
			}
			return answerRest(f)
		})
		began := time.Now()
		got := f.serve(call("/draft/"))
		is.True(time.Since(began) < 2*time.Second) // its caller leaves then
		is.Equal(got.body.String(), eventStream(0, lastEventID))
	})
}

// chunkedBody yields n chunks of 100 KiB, each after a pause, until its context ends.
type chunkedBody struct {
	n    int
	ctx  context.Context
	rest *strings.Reader
}

func (b *chunkedBody) setContext(ctx context.Context) { b.ctx = ctx }

func (b *chunkedBody) Close() error { return nil }

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.rest == nil || b.rest.Len() == 0 {
		if b.n == 0 {
			return 0, io.EOF
		}
		select {
		case <-time.After(250 * time.Millisecond):
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
		b.n--
		b.rest = strings.NewReader(strings.Repeat("x", 100<<10))
	}
	return b.rest.Read(p)
}

// Guards against a large answer that is cut while it arrives, because it takes longer than a
// slow attempt or than a silent stream.
func TestLargeAnswerIsPassedOnWhole(t *testing.T) {
	for path, contentType := range map[string]string{"/status/": "", "/feed/": "application/pdf", "/draft/": "application/pdf"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const chunks = 8
				f := newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
					r := okReply("")
					r.Body, r.Length = &chunkedBody{n: chunks}, chunks*100<<10
					r.Header.Set("Content-Type", contentType)
					return r, nil
				})
				got := f.serve(call(path))
				is.True(!got.aborted)
				is.Equal(got.body.Len(), chunks*100<<10)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against more sends of a request than the gateway allows itself.
func TestSendsAreBoundedWithSlowTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			if n < 4 {
				return notRunReply(""), nil
			}
			return timedAnswer(f, silentFor(2*time.Second))
		})
		u := &saddlewire.Update{}
		for _, id := range []string{"desk-4", "desk-5", "desk-6"} {
			u.Registrations = append(u.Registrations, &saddlewire.Registration{Id: id, Group: "desk", Address: id, Centre: "a", Incarnation: 1})
		}
		f.builder.Update("control", u)
		f.fleet.Update(time.Now(), f.builder.Build())
		got := f.serve(call("/status/"))
		is.Equal(got.refusal, nil)
		is.Equal(len(f.fakeTargets.forwarded()), 4)
	})
}

// Pattern: 150 streams with silences of up to two seconds, while engines are marked down in
// turn and reports are late. Guards against capacity that stays reserved, and against races.
func TestReplacedStreamsLeaveNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, func(n int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
			return timedAnswer(f, silentFor(time.Duration(n%20)*100*time.Millisecond))
		})
		f.fakeTargets.report = lateReport
		var ended atomic.Bool
		go func() {
			for i := 0; !ended.Load(); i++ {
				time.Sleep(37 * time.Millisecond)
				f.fleet.MarkDown(time.Now(), []string{"engine-a-0", "engine-a-2", "engine-b-0", "engine-b-2"}[i%4], "late")
				began := time.Now()
				for _, p := range f.fleet.StartDueProbes(began) {
					f.gateway.RecordProbe(time.Now(), began, p, fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: layers}}}, nil)
				}
			}
		}()
		f.serveMany(150, "/draft/")
		ended.Store(true)
		time.Sleep(6 * time.Second) // the route's timeout
		is.Equal(len(f.fleet.SectionLoads()), 0)
	})
}
