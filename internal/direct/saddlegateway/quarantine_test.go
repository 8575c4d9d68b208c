package saddlegateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlequarantine"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// endedEngines answers like engines that end whenever they are to answer a request with the
// part "fatal".
func endedEngines(_ int, f fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
	if strings.Contains(f.Header.Get("Parts"), "fatal") {
		return truncatedReply(""), nil
	}
	return okReply(eventStream(0, lastEventID)), nil
}

func callWithParts(parts ...fireflysaddle.PromptPart) *saddlegateway.Call {
	c := call("/draft/")
	c.PromptParts = parts
	c.Header = http.Header{"Parts": {fmt.Sprint(parts)}}
	c.Body = []byte(fmt.Sprint("prompt of ", parts)) // other prompts have other bodies
	return c
}

// restartEnded plays the probes of the engines that ended at an entry, and their restart with
// the same layers, of which all entries learn. It returns how many ended.
func (f *fixture) restartEnded(incarnation uint64, entries ...*fixture) int {
	u := &saddlewire.Update{}
	for _, target := range f.fleet.StartDueProbes(time.Now()) {
		f.fleet.RecordProbe(time.Now(), target, fireflysaddle.EngineReport{}, &fireflysaddle.NotSentError{Address: target.Address, Err: syscall.ECONNREFUSED})
		var from uint32
		if strings.HasSuffix(target.Address, "2") {
			from = 2
		}
		u.Registrations = append(u.Registrations, &saddlewire.Registration{
			Id: target.Address, Group: "drafts", Address: target.Address, Centre: string(target.Centre), Accelerator: "big", Incarnation: incarnation,
			Layers: []*saddlewire.HeldLayers{{From: from, To: from + 2}},
		})
	}
	for _, e := range entries {
		e.builder.Update("control", u)
		e.fleet.Update(time.Now(), e.builder.Build())
	}
	return len(u.GetRegistrations())
}

// exchange passes what the entries report to control, and what control decides to them.
func exchange(now time.Time, d *saddlequarantine.Detector, entries ...*fixture) {
	for _, f := range entries {
		m := &saddlewire.Member{}
		f.gateway.AddBlames(time.Now(), m)
		d.Observe(now, m)
	}
	for _, f := range entries {
		u := &saddlewire.Update{Leads: true}
		d.AddTo(u)
		f.builder.Update("control", u)
		f.gateway.UpdateQuarantines(time.Now(), f.builder.Build())
	}
}

// Pattern: requests with one part end each engine that is to answer them, and come at all
// entries, with other parts and callers each time.
// Guards against an entry that sends such requests on because others have seen the crashes.
func TestPartThatEndsEnginesIsRefusedByAllEntries(t *testing.T) {
	is := is.New(t)
	entries := []*fixture{newFixture(t, endedEngines), newFixture(t, endedEngines)}
	d := saddlequarantine.New()
	ended := 0
	for i := range 20 {
		f := entries[i%len(entries)]
		before := len(f.fakeTargets.forwarded())
		f.serve(callWithParts(fireflysaddle.PromptPart(fmt.Sprint("first-", i%5)), "fatal"))
		is.Equal(len(f.fakeTargets.forwarded()) > before, i < 3) // requests with the part reach engines at three times only
		ended += f.restartEnded(uint64(2+i), entries...)
		exchange(f.now.Add(time.Duration(i)*time.Second), d, entries...)
	}
	is.True(ended >= 3)
	for _, f := range entries {
		before := len(f.fakeTargets.forwarded())
		got := f.serve(callWithParts("first-0", "fatal"))
		is.Equal(got.refusal.Outcome, saddlegateway.OutcomeNotRun)
		is.Equal(got.refusal.Code, fireflysaddle.CodeQuarantined)
		is.True(got.refusal.RetryAfter > time.Minute)
		is.Equal(len(f.fakeTargets.forwarded()), before)
		is.Equal(f.serve(callWithParts("first-0")).body.String(), eventStream(0, lastEventID)) // shares all but the fatal part
	}
}

// Guards against the parts of requests being blamed that an engine was answering when another
// request ended it.
func TestAnsweredRequestsAreNotBlamed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, answerSequence(truncateAfter(4), answerRest))
	is.Equal(f.serve(callWithParts("first")).body.String(), eventStream(0, lastEventID))
	is.Equal(f.restartEnded(2, f), 1)
	m := &saddlewire.Member{}
	f.gateway.AddBlames(time.Now(), m)
	is.Equal(len(m.GetBlames()), 0)
}

// Guards against the retry of a request whose parts were put in quarantine during its first
// attempt. It may have run, so nothing else is promised.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	var f *fixture
	f = newFixture(t, func(int, fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		u := &saddlewire.Update{Leads: true, Quarantines: []*saddlewire.Quarantine{{Traits: []string{"fatal"}, UntilMs: time.Now().Add(time.Hour).UnixMilli()}}}
		f.builder.Update("control", u)
		f.gateway.UpdateQuarantines(time.Now(), f.builder.Build())
		return truncatedReply(""), nil
	})
	got := f.serve(callWithParts("fatal"))
	is.Equal(len(f.fakeTargets.forwarded()), 1)
	is.Equal(got.refusal.Outcome, saddlegateway.OutcomeUnknown)
}
