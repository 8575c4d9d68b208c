package saddlegateway_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/node/saddleview"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	eventPause  = 42 * time.Millisecond
	eventTokens = 2
	meanEvents  = 86
	mostEvents  = 215
	// estimateSpread is the standard deviation of the logarithm of callers' estimates.
	estimateSpread = 0.5
	// ampleFactor is how many times the estimated duration must fit into the time for which a
	// stream is held, so that a request is to be served: nine in ten estimates are exceeded less
	// than twofold.
	ampleFactor = 4
	holdTime    = 1500 * time.Millisecond
	// refusalMargin is the time before the kill at which calls without an answer are refused.
	refusalMargin = 300 * time.Millisecond
	// soon is the time within which a refused caller can be at another gateway.
	soon = 100 * time.Millisecond
	// mostGivenUp bounds the held streams that are given up because their estimates are far too
	// low: one in 50 of those sent, of which there are some tens.
	mostGivenUp = 1
	// callerPatience is the time after which callers leave without an event.
	callerPatience = 2 * time.Second
)

// draft is a stream of a length that its caller can only estimate.
type draft struct {
	events int
	hint   int // tokens
}

func drawDraft(r *rand.Rand) draft {
	events := min(mostEvents, max(1, int(meanEvents*math.Exp(0.8*r.NormFloat64()-0.3))))
	return draft{events, max(1, int(float64(events*eventTokens)*math.Exp(estimateSpread*r.NormFloat64())))}
}

// call returns the request for a draft. Its body states the number of events.
func (d draft) call(n int) *saddlegateway.Call {
	c := call("/draft/")
	c.ID = fireflysaddle.RequestID(fmt.Sprint("r", n))
	c.URI = fmt.Sprint("/draft/", n) // identical requests count as those of one caller
	c.MaxOutputTokens, c.OutputTokensHint, c.Body = mostEvents*eventTokens, d.hint, fmt.Append(nil, d.events)
	return c
}

// answerDrafts answers with the number of events in the body.
func answerDrafts(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	events, err := strconv.Atoi(string(f.Body))
	if err != nil {
		return nil, err
	}
	return pacedEvents(events, eventPause)(f)
}

// draftResult is what became of a draft that reached a stopping gateway.
type draftResult struct {
	ample   bool // the estimated duration is much shorter than the time for which streams are held
	refusal *saddlegateway.Refusal
	waited  time.Duration // until the end of the answer of the stopping gateway
	cut     bool          // by the kill
	whole   bool          // the answer of the stopping gateway, or of another one if it was refused
}

// draftTally counts what became of drafts.
type draftTally struct{ cut, ample, ampleRefused, givenUp int }

func (t *draftTally) add(d draftResult) {
	if d.cut {
		t.cut++
	}
	if d.ample {
		t.ample++
	}
	switch {
	case d.refusal == nil:
	case d.refusal.Outcome == saddlegateway.OutcomeUnknown:
		t.givenUp++
	case d.ample:
		t.ampleRefused++
	}
}

// checkLeavingRefusal checks a refusal by a stopping gateway: at once, or while its caller still
// waits if the estimate was so short that the stream was sent.
func checkLeavingRefusal(is *is.I, r *saddlegateway.Refusal, waited time.Duration) {
	is.Helper()
	is.Equal(r.Code, fireflysaddle.CodeLeaving)
	if r.Outcome == saddlegateway.OutcomeUnknown {
		is.True(waited < callerPatience)
		return
	}
	is.Equal(r.Outcome, saddlegateway.OutcomeNotRun)
	is.True(r.RetryAfter > 0)
	is.Equal(waited, time.Duration(0))
}

// Guards against streams of unknown length that reach a stopping gateway being cut when it is
// killed, and against their callers losing more than the way to another gateway.
func TestStreamsThatReachAStoppingGatewayEndWholeOrAreRefusedAtOnce(t *testing.T) {
	const (
		perSecond   = 9
		lastArrival = 400 * time.Millisecond // before the kill
		mostResults = 100
		oneInShort  = 4 // drafts, whose callers know their length
		// mostShortEvents fit ampleFactor times into the hold.
		mostShortEvents = 8
	)
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := rand.New(rand.NewPCG(seed, 43))
				f, other := newFixture(t, answerDrafts), newFixture(t, answerDrafts)
				f.setTimeouts(t, 20*time.Second)
				other.setTimeouts(t, 20*time.Second)
				for n := range 400 { // in a steady state when the shutdown begins
					go f.serve(drawDraft(r).call(n))
					time.Sleep(time.Second / perSecond)
				}
				killed := f.startShutdown()
				results := make(chan draftResult, mostResults)
				for n := 1; time.Until(killed) > lastArrival; n++ {
					d, arrived := drawDraft(r), time.Now()
					if n%oneInShort == 0 {
						d.events = 1 + r.IntN(mostShortEvents)
						d.hint = d.events * eventTokens
					}
					ample := time.Duration(ampleFactor*d.hint/eventTokens)*eventPause < min(holdTime, time.Until(killed)-refusalMargin)
					go func() {
						got := f.serve(d.call(-n))
						res := draftResult{
							ample: ample, refusal: got.refusal, waited: time.Since(arrived),
						}
						res.cut = got.refusal == nil && (got.aborted || time.Now().After(killed))
						if got.refusal != nil {
							time.Sleep(got.refusal.RetryAfter)
							got = other.serve(d.call(-n))
						}
						res.whole = !got.aborted && got.body.String() == eventStream(0, d.events-1)
						results <- res
					}()
					time.Sleep(time.Second / perSecond)
				}
				time.Sleep(time.Until(killed) + mostEvents*eventPause + soon)
				synctest.Wait()
				close(results)
				var all draftTally
				for d := range results {
					is.True(d.whole)
					all.add(d)
					if d.refusal != nil {
						checkLeavingRefusal(is, d.refusal, d.waited)
						is.True(d.refusal.RetryAfter < soon)
					}
				}
				if all.cut > 0 || all.ample == 0 || all.ampleRefused > 0 || all.givenUp > mostGivenUp {
					t.Errorf("%+v: want none cut, ample ones served, at most %d given up", all, mostGivenUp)
				}
			})
		})
	}
}

// Guards against the estimates of some callers, who always state 1, deciding on the streams of
// others: all would be refused.
func TestMeaninglessEstimatesOfSomeCallersDoNotRefuseTheStreamsOfOthers(t *testing.T) {
	const (
		before         = 2000
		perSecond      = 9
		oneIn          = 20 // callers state 1
		shortestEvents = 8
		quickPause     = 2 * time.Millisecond
	)
	answerQuickDrafts := func(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		events, err := strconv.Atoi(string(f.Body))
		if err != nil {
			return nil, err
		}
		return pacedEvents(events, quickPause)(f)
	}
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(1, 43))
		f := newFixture(t, answerQuickDrafts)
		f.setTimeouts(t, 20*time.Second)
		for n := range before {
			d := drawDraft(r)
			if n%oneIn == 0 {
				d.hint = 1
			}
			go f.serve(d.call(n))
			time.Sleep(time.Second / perSecond)
		}
		killed := f.startShutdown()
		for events := shortestEvents; events < mostEvents; events += shortestEvents {
			hint := events * eventTokens
			if time.Duration(ampleFactor*events)*quickPause > holdTime {
				break
			}
			go func() {
				got := f.serve(draft{events, hint}.call(before + events))
				if got.refusal != nil {
					t.Errorf("a stream of %d events was refused", events)
				}
			}()
		}
		time.Sleep(time.Until(killed) + mostEvents*eventPause) // all have ended
	})
}

// Guards against callers who are refused by the only gateway that the balancer has for them coming
// back to it at once, and being refused again until they have no retry left.
func TestCallersWhoReturnToTheStoppingGatewayAreToldToWaitUntilItIsTakenOut(t *testing.T) {
	const (
		returnDelay = 100 * time.Millisecond // between a refusal and the next try
		callers     = 10
	)
	for _, c := range []struct {
		name    string
		returns int // of three callers come back to this gateway
		waits   bool
	}{
		{"all callers return", 3, true},
		{"a third of the callers return", 1, false},
		{"no caller returns", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, answerDrafts)
				f.setTimeouts(t, 20*time.Second)
				killed := f.startShutdown()
				last := time.Duration(0)
				for n := range callers {
					d := draft{mostEvents, mostEvents * eventTokens}
					request := d.call(n)
					request.URI = fmt.Sprint("/draft/", n)
					got := f.serve(request)
					is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
					last = got.refusal.RetryAfter
					time.Sleep(returnDelay)
					if n%3 >= c.returns {
						continue
					}
					got = f.serve(request)
					is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
				}
				is.Equal(last > returnDelay, c.waits)
				if c.waits {
					is.Equal(last, time.Until(killed)-(graceTime-lameDuck)+returnDelay) // until the end of the lame-duck period
				}
				time.Sleep(time.Until(killed))
			})
		})
	}
}

// Guards against callers being sent from one stopping gateway of a data centre to the next one,
// which refuses them as well.
func TestCallersOfADataCentreWhoseGatewaysAllLeaveReturnWhenTheyAreTakenOut(t *testing.T) {
	const laterBy = time.Second // the other gateway is told to stop later
	member := func(role fireflysaddle.Role, centre string, leaving bool) *saddlewire.Member {
		return &saddlewire.Member{Role: string(role), Centre: centre, Leaving: leaving}
	}
	for _, c := range []struct {
		name    string
		members map[string]*saddlewire.Member
		waits   bool
	}{
		{"the other one leaves", map[string]*saddlewire.Member{"entry-2": member(fireflysaddle.RoleEntry, "a", true)}, true},
		{"the other one stays", map[string]*saddlewire.Member{"entry-2": member(fireflysaddle.RoleEntry, "a", false)}, false},
		{"one of the others stays", map[string]*saddlewire.Member{
			"entry-2": member(fireflysaddle.RoleEntry, "a", true), "entry-3": member(fireflysaddle.RoleEntry, "a", false),
		}, false},
		{"others are elsewhere or no entries", map[string]*saddlewire.Member{
			"entry-2": member(fireflysaddle.RoleEntry, "a", true), "entry-3": member(fireflysaddle.RoleEntry, "b", false), "control-1": member(fireflysaddle.RoleControl, "a", false),
		}, true},
		{"no members are known", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(t, answerDrafts)
				f.setTimeouts(t, 20*time.Second)
				killed := f.startShutdown()
				time.Sleep(laterBy)
				view := &saddleview.View{Members: c.members, MembersVersion: 1}
				if c.members != nil {
					c.members["entry-1"] = member(fireflysaddle.RoleEntry, "a", true)
				}
				f.gateway.UpdateMembers(time.Now(), view)
				got := f.serve(draft{mostEvents, mostEvents * eventTokens}.call(1))
				is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
				if c.waits {
					is.Equal(got.refusal.RetryAfter, lameDuck) // of the other one
				} else {
					is.True(got.refusal.RetryAfter < 100*time.Millisecond)
				}
				time.Sleep(time.Until(killed))
			})
		})
	}
}
