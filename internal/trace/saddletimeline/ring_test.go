package saddletimeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/trace/saddletimeline"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

var start = time.Unix(1_700_000_000, 0)

func TestEventsAreOrderedCausallyDespiteClockSkew(t *testing.T) {
	is := is.New(t)
	entry := saddletimeline.NewRing("entry-1", 4)
	agent := saddletimeline.NewRing("agent-1", 4)
	entry.Add(start, saddletimeline.Event{Name: "sent"})
	agentTime := start.Add(-time.Hour) // the agent's clock is an hour behind
	agent.Observe(agentTime, entry.Stamp(start))
	agent.Add(agentTime, saddletimeline.Event{Name: "received"})

	merged := saddletimeline.Filter{}.Select(append(agent.Events(), entry.Events()...))
	is.Equal(merged[0].Name, "sent")
	is.Equal(merged[1].Name, "received")
}

func TestRingKeepsTheLatestEvents(t *testing.T) {
	is := is.New(t)
	r := saddletimeline.NewRing("entry-1", 3)
	for i := range 5 {
		r.Add(start.Add(time.Duration(i)), saddletimeline.Event{Attempt: uint32(i)})
	}
	var got []uint32
	for _, e := range r.Events() {
		got = append(got, e.Attempt)
	}
	is.Equal(got, []uint32{2, 3, 4})
}

func TestStampsIncreaseWhenTheClockStopsOrGoesBack(t *testing.T) {
	is := is.New(t)
	var c saddletimeline.Clock
	var last *saddlewire.Stamp
	for _, at := range []time.Time{start, start, start.Add(-time.Second), start.Add(time.Second), start} {
		next := c.Now(at)
		if last != nil {
			later := next.GetWallNs() > last.GetWallNs() || (next.GetWallNs() == last.GetWallNs() && next.GetCount() > last.GetCount())
			is.True(later)
		}
		last = next
	}
}

func TestFilterSelectsRequestsOfWorkspace(t *testing.T) {
	is := is.New(t)
	events := []saddletimeline.Event{
		{WallNs: 3, Name: "draft_start", Request: "r1", Target: "mastori-1"},
		{WallNs: 1, Name: "draft_received", Request: "r1", Subject: "volos"},
		{WallNs: 2, Name: "draft_received", Request: "r2", Subject: "larisa"},
		{WallNs: 4, Name: "draft_start", Request: "r2", Target: "mastori-2"},
	}
	selectWallNs := func(f saddletimeline.Filter) (out []int64) {
		for _, e := range f.Select(events) {
			out = append(out, e.WallNs)
		}
		return out
	}
	is.Equal(selectWallNs(saddletimeline.Filter{Workspace: "volos"}), []int64{1, 3})
	is.Equal(selectWallNs(saddletimeline.Filter{Request: "r2"}), []int64{2, 4})
	is.Equal(selectWallNs(saddletimeline.Filter{Target: "mastori-2"}), []int64{4})
	is.Equal(selectWallNs(saddletimeline.Filter{Since: time.Unix(0, 3)}), []int64{3, 4})
}

func BenchmarkAdd(b *testing.B) {
	r := saddletimeline.NewRing("entry-1", 4096)
	e := saddletimeline.Event{Name: "draft_attempt", Request: "6f0c", Attempt: 1, Target: "mastori-1"}
	b.ReportAllocs()
	for b.Loop() {
		r.Add(start, e)
	}
}

func BenchmarkAddParallel(b *testing.B) {
	r := saddletimeline.NewRing("entry-1", 4096)
	e := saddletimeline.Event{Name: "draft_attempt", Request: "6f0c", Attempt: 1, Target: "mastori-1"}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Add(start, e)
		}
	})
}
