package saddlegateway_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlegateway"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
)

// mostTokens is the size of a draft beside which no other one has room in its data centre.
const mostTokens = 30_000

// rankedFixture returns a fixture with a route /batch/ of lower priority to the engines, whose
// first two drafts last until finish is closed or yields a value.
func rankedFixture(t *testing.T) (f *fixture, finish chan struct{}) {
	t.Helper()
	finish = make(chan struct{})
	f = newFixture(t, func(n int, _ fireflysaddle.Forward) (*fireflysaddle.Reply, error) {
		if n <= 2 {
			<-finish
		}
		r := okReply(eventStream(1, 2))
		r.Header.Set("Content-Type", "text/event-stream")
		return r, nil
	})
	r := routing(t)
	r.Routes = append(r.Routes, &saddlerouting.Route{
		Name: "/batch/", Host: "h", Prefix: "/batch/", Kind: saddlerouting.Streaming, Timeout: 5 * time.Second, FirstByteObjective: time.Second,
		Priority: 1, Split: []saddlerouting.Share{{Group: "drafts", Weight: 1}}, MaxAttempts: 2, Resumable: true,
	})
	if err := r.Check(); err != nil {
		t.Fatal(err)
	}
	f.setRouting(r, 0)
	return f, finish
}

func largeCall(path, id string) *saddlegateway.Call {
	c := call(path)
	c.ID, c.PromptTokens = fireflysaddle.RequestID(id), mostTokens
	return c
}

// Load: urgent burst over batch burst, while all engines are full.
func TestMoreUrgentDraftsBeginFirst(t *testing.T) {
	is := is.New(t)
	f, finish := rankedFixture(t)
	var all sync.WaitGroup
	begin := func(path, id string, waiting uint64) {
		all.Go(func() { is.Equal(f.serve(largeCall(path, id)).refusal, nil) })
		for range 100 {
			if len(f.fakeTargets.forwarded()) == 2 && f.gateway.WaitingTokens()["drafts"] == waiting {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	begin("/batch/1", "full-1", 0)
	begin("/batch/2", "full-2", 0)
	begin("/batch/3", "batch", mostTokens+50)
	begin("/draft/3", "urgent", 2*(mostTokens+50))
	is.Equal(f.gateway.WaitingTokens()["drafts"], uint64(2*(mostTokens+50)))
	finish <- struct{}{} // room for one
	for range 100 {
		if len(f.fakeTargets.forwarded()) > 2 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	close(finish)
	all.Wait()
	sent := f.fakeTargets.forwarded()
	is.Equal(len(sent), 4)
	is.Equal(sent[2].Request, fireflysaddle.RequestID("urgent"))
	is.Equal(sent[3].Request, fireflysaddle.RequestID("batch"))
	is.Equal(sent[3].Urgency, 1)
	is.Equal(len(f.gateway.WaitingTokens()), 0)
	is.Equal(len(f.log.lines("draft admitted after waiting")), 2)
}

// Load: demand over room for good. A draft that finds none is refused as not run, with a time of
// return.
func TestDraftWithoutRoomIsToldWhenToReturn(t *testing.T) {
	is := is.New(t)
	f, finish := rankedFixture(t)
	var all sync.WaitGroup
	for _, id := range []string{"full-1", "full-2"} {
		all.Go(func() { f.serve(largeCall("/draft/"+id, id)) })
	}
	for range 100 {
		if len(f.fakeTargets.forwarded()) == 2 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	c := largeCall("/draft/3", "late")
	c.Timeout = 3 * time.Second
	refusal := f.serve(c).refusal
	is.True(refusal != nil)
	is.Equal(refusal.Code, fireflysaddle.CodeOverloaded)
	is.Equal(refusal.Outcome, saddlegateway.OutcomeNotRun)
	is.True(refusal.RetryAfter > 0)
	is.True(refusal.RetryAfter <= time.Second) // a third of the caller's time
	is.True(strings.Contains(f.log.lines("draft not admitted")[0], `"rank":0`))
	close(finish)
	all.Wait()
}
