package saddlegateway_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
)

// changingPace answers drafts with a pause between events that may change while they are in
// progress.
type changingPace struct {
	pause atomic.Int64              // nanoseconds
	wait  func(n int) time.Duration // before the events of the nth request
}

func (p *changingPace) answer(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	events, err := strconv.Atoi(string(f.Body))
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimPrefix(string(f.Request), "r"))
	if err != nil {
		return nil, err
	}
	r := okReply("")
	body, w := io.Pipe()
	go func() {
		time.Sleep(p.wait(n))
		for i := range events {
			time.Sleep(time.Duration(p.pause.Load()))
			if _, err := io.WriteString(w, eventStream(i, i)); err != nil {
				return
			}
		}
		_ = w.Close()
	}()
	r.Body = cancelledBody{body}
	return r, nil
}

// stoppedDraft is a draft that was in progress at SIGTERM or arrived after it.
type stoppedDraft struct {
	arrival time.Duration // after SIGTERM
	ended   time.Duration // after SIGTERM
	got     *fakeResponder
}

// Guards against streams that a stopping gateway has accepted being cut at the kill because they
// take longer than streams of the past: the pace of engines changes, and callers send on open
// connections until the process is gone.
func TestStreamsSentDuringTheShutdownAreNeverCutWhateverTheirPace(t *testing.T) {
	const (
		perSecond   = 9
		lastArrival = 400 * time.Millisecond // before the kill
		mostResults = 1000
		oneIn       = 20 // prompts is read late
	)
	none := func(int) time.Duration { return 0 }
	for _, c := range []struct {
		name   string
		slower time.Duration // factor of the pauses from SIGTERM on
		wait   func(n int) time.Duration
	}{
		{"the pace stays", 1, none},
		{"engines are half as fast", 2, none},
		{"engines are a quarter as fast", 4, none},
		{"some prompts wait", 1, func(n int) time.Duration {
			if n%oneIn == 0 {
				return 2 * time.Second
			}
			return 0
		}},
	} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprint(c.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := rand.New(rand.NewPCG(seed, 51))
					p := &changingPace{wait: c.wait}
					p.pause.Store(int64(eventPause))
					f := newFixture(t, p.answer)
					f.setTimeouts(t, 20*time.Second)
					const before = 400
					stopped := time.Now().Add(before * (time.Second / perSecond))
					results := make(chan stoppedDraft, mostResults)
					send := func(n int) {
						call := drawDraft(r).call(n)
						go func() {
							arrived := time.Since(stopped)
							got := f.serve(call)
							results <- stoppedDraft{arrived, time.Since(stopped), got}
						}()
						time.Sleep(time.Second / perSecond)
					}
					for n := range before {
						send(n)
					}
					killed := f.startShutdown()
					p.pause.Store(int64(c.slower * eventPause))
					for n := before; time.Until(killed) > lastArrival; n++ {
						send(n)
					}
					time.Sleep(c.slower * mostEvents * eventPause) // what is cut by the kill ends here
					synctest.Wait()
					close(results)
					refused, cut, givenUp := 0, 0, 0
					for d := range results {
						switch {
						case d.arrival < 0: // in progress at SIGTERM, or earlier
							is.Equal(d.got.refusal, nil)
						case d.got.refusal != nil:
							refused++
							if d.got.refusal.Outcome == saddlegateway.OutcomeUnknown {
								givenUp++
							}
							checkLeavingRefusal(is, d.got.refusal, d.ended-d.arrival)
						case d.ended > graceTime || d.got.aborted:
							cut++
						}
					}
					if c.slower == 1 {
						is.True(givenUp <= mostGivenUp)
					}
					if cut > 0 {
						t.Errorf("%d streams that arrived after SIGTERM were cut at the kill, %d were refused: want none cut", cut, refused)
					}
				})
			})
		}
	}
}
