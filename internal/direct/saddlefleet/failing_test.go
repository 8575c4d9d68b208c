package saddlefleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// serveDrafts sends drafts one after the other, a hundred milliseconds apart. The engines in
// faulty fail every second draft; all answer probes. It returns how many drafts each engine
// got as head.
func (f *fixture) serveDrafts(t *testing.T, now time.Time, n int, faulty ...string) map[string]int {
	t.Helper()
	heads := map[string]int{}
	for i := range n {
		now = now.Add(100 * time.Millisecond)
		head, done, _ := f.chain(now, 1)
		if head == "" {
			t.Fatalf("no chain for draft %d", i)
		}
		heads[head]++
		failed := false
		for _, id := range faulty {
			failed = failed || (id == head && heads[head]%2 == 1)
		}
		if failed {
			f.fleet.RecordFault(now, head, "answered 500")
		} else {
			f.fleet.MarkWorking(now, head)
		}
		done()
	}
	return heads
}

// Pattern: an engine answers half of its drafts with errors while its probe is good
// (srv_grey). Drafts must begin elsewhere after a few faults, and only now and then there.
func TestEngineThatFailsDraftsIsAvoidedAsHead(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	heads := f.serveDrafts(t, start, 100, "a0")
	is.True(heads["a0"] <= 15)
	is.True(heads["b0"] >= 85)
	heads = f.serveDrafts(t, start.Add(time.Minute), 10)
	is.Equal(heads["a0"], 10) // the faults have ended
}

// Pattern: an engine that has answered a hundred drafts a second for a minute begins to fail
// half of them.
// Guards against counts of recent events that do not decay while events come often, so that
// old successes outweigh new faults.
func TestBusyEngineThatBeginsToFailIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	now := start
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		f.fleet.MarkWorking(now, "a0")
	}
	for range 300 { // three seconds
		now = now.Add(10 * time.Millisecond)
		f.fleet.MarkWorking(now, "a0")
		f.fleet.RecordFault(now, "a0", "answered 500")
	}
	head, _, _ := f.chain(now, 1)
	is.Equal(head, "b0")
	is.Equal(len(f.fleet.Failing(now)), 1)
}

// Pattern: every engine fails some drafts. None may be left out, since drafts that are not
// sent cannot succeed.
func TestAllEnginesFailingAreStillUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	heads := f.serveDrafts(t, start, 100, "a0", "b0")
	is.Equal(heads["a0"]+heads["b0"], 100)
}

// Few faults among many drafts, as from lost answers, leave an engine in use.
func TestEngineWithFewFaultsStaysHead(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	for range 20 {
		f.fleet.MarkWorking(start, "a0")
	}
	f.fleet.RecordFault(start, "a0", "reset")
	f.fleet.RecordFault(start, "a0", "reset")
	head, _, _ := f.chain(start, 1)
	is.Equal(head, "a0")
	is.Equal(len(f.fleet.Failing(start)), 0)
}

// Pattern: a hundred entries send drafts to the same engine that fails them. The entries of
// a data centre tell one another, so that not each of them has to see faults itself.
func TestEntriesOfADataCentreShareFailingEngines(t *testing.T) {
	for entries, head := range map[uint32]string{1: "a0", 2: "b0", 20: "b0"} {
		t.Run(fmt.Sprint(entries, " other entries"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
			f.update(&saddlewire.Update{Failing: []*saddlewire.TargetCount{{Target: "a0", Entries: entries}}})
			got, _, _ := f.chain(start, 1)
			is.Equal(got, head)
			f.update(&saddlewire.Update{Leads: true})
			got, _, _ = f.chain(start, 1)
			is.Equal(got, "a0") // they no longer list it
		})
	}
}

// An entry does not list an engine that enough others of its data centre list already.
func TestListsOfFailingEnginesDoNotGrowWithEntries(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4))
	f.fleet.RecordFault(start, "a0", "answered 500")
	f.fleet.RecordFault(start, "a0", "answered 500")
	is.Equal(f.fleet.Failing(start), []string{"a0"})
	f.update(&saddlewire.Update{Failing: []*saddlewire.TargetCount{{Target: "a0", Entries: 2}}})
	is.Equal(len(f.fleet.Failing(start)), 0)
}

// A probe that was sent to an earlier process of the engine says nothing about the one that
// has taken its place.
func TestProbeOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4))
	f.fleet.MarkDown(start, "a0", "its chain stalls")
	due := f.fleet.StartDueProbes(start)
	is.Equal(len(due), 1)
	restarted := engine("a0", "a", 0, 2)
	restarted.Incarnation, restarted.Sequence = 2, 1
	f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{restarted}})
	f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{}, errReset)
	is.Equal(len(f.fleet.Suspects()), 0)
	head, _, _ := f.chain(start, 1)
	is.Equal(head, "a0")
}

// Pattern: plain services in two data centres, the remote one the busier. The order in which
// they are compared must not matter.
func TestRemoteServiceIsNotPreferredForItsLoad(t *testing.T) {
	is := is.New(t)
	f := newFixture(plainService("far", "b"), plainService("near", "a"))
	for range 6 {
		_, _, ok := f.fleet.Pick(start, "desk", []fireflysaddle.TargetID{"near"}) // six requests in flight at the remote one
		is.True(ok)
	}
	for range 4 {
		is.Equal(f.pick(t, start), "near")
	}
}

// Pattern: the streams of a data centre are slow, and each of its entries wants to know
// whether the engines still answer. What all entries together ask of an engine must not grow
// with their number.
func TestProbesOfAnEngineDoNotGrowWithEntries(t *testing.T) {
	const seconds = 10
	for entries, most := range map[int]int{2: 2 * 34, 7: 7 * 34, 21: 7 * 36} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(engine("a0", "a", 0, 2))
			u := &saddlewire.Update{}
			for i := range entries {
				u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
			}
			f.update(u)
			probes := 0
			for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(10 * time.Millisecond) {
				f.fleet.RequestProbe(now, "a0")
				for _, due := range f.fleet.StartDueProbes(now) {
					probes++
					f.fleet.RecordProbe(now, due, fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 2}}}, nil)
				}
			}
			is.True(probes*entries <= most) // by all entries together
			is.True(probes >= seconds)
		})
	}
}
