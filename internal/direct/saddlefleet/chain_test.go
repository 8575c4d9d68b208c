package saddlefleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

func newPool() *saddlerouting.Pool {
	return &saddlerouting.Pool{Group: "drafts", Model: &saddlerouting.Model{
		Layers: 4, LayerMB: 10, TokenBytes: 4_000_000, Step: time.Millisecond, PrefillTokensPerSecond: 1e6,
		Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{"big": {MemoryMB: 40, StepTimeFactor: 1, PrefillFactor: 1}},
	}}
}

func (f *fixture) chain(now time.Time, tokens int) (head string, done func(), full bool) {
	c, done, full, ok := f.fleet.PickChain(now, newPool(), tokens, nil)
	if !ok {
		return "", func() {}, full
	}
	return string(c.Head.ID), done, false
}

// An engine with two layers has 20 MB left, which is capacity for ten tokens of 1 MB
// at each layer.
func TestChainHasCapacityAtEveryStage(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 4))
	head, done, _ := f.chain(start, 6)
	is.Equal(head, "a0")
	other, _, _ := f.chain(start, 6)
	is.Equal(other, "") // b0 holds four layers, which leave no capacity for tokens
	_, _, full := f.chain(start, 6)
	is.True(full)
	done()
	head, _, _ = f.chain(start, 6)
	is.Equal(head, "a0")
}

// The test name of a report begins with "by" if the report leaves no capacity for the
// request.
func TestCapacityIsSharedWithOtherEntries(t *testing.T) {
	for name, u := range map[string]*saddlewire.Update{
		"by load that another entry reports": {PeerDrafts: []*saddlewire.SectionLoad{{Group: "drafts", Centre: "a", Tokens: 8}}},
		"by occupancy that engines report":   {Leads: true, Occupied: []*saddlewire.SectionLoad{{Group: "drafts", Centre: "a", Tokens: 8}}},
		"not by load in another data centre": {PeerDrafts: []*saddlewire.SectionLoad{{Group: "drafts", Centre: "b", Tokens: 8}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4))
			f.update(u)
			head, _, _ := f.chain(start, 6)
			is.Equal(head == "", name[:2] == "by")
		})
	}
}

// fastAndSlow returns a pool in which a fast and a slow engine each hold all layers,
// with capacity for a hundred thousand tokens.
func fastAndSlow() (*saddlerouting.Pool, *fixture) {
	pool := newPool()
	pool.Model.TokenBytes = 4000
	pool.Model.Accelerators = map[fireflysaddle.Accelerator]saddlerouting.Accelerator{
		"fast": {MemoryMB: 440, StepTimeFactor: 1, PrefillFactor: 1},
		"slow": {MemoryMB: 440, StepTimeFactor: 5, PrefillFactor: 5},
	}
	fast, slow := engine("fast", "a", 0, 4), engine("slow", "a", 0, 4)
	fast.Accelerator, slow.Accelerator = "fast", "slow"
	return pool, newFixture(fast, slow)
}

// An entry knows only its own requests exactly. If every entry filled the fast engine
// up to its own estimate of full load, the engine would have to refuse most requests.
func TestEntriesThatChooseAlikeDoNotOverfillTheFastEngine(t *testing.T) {
	is := is.New(t)
	p, f := fastAndSlow()
	f.update(&saddlewire.Update{PeerDrafts: []*saddlewire.SectionLoad{{Group: "drafts", Centre: "a", Tokens: 120_000}}})
	heads := map[fireflysaddle.TargetID]int{}
	for range 10 {
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		heads[c.Head.ID]++
	}
	is.True(heads["fast"] >= 5)
	is.True(heads["slow"] >= 3)
}

// The estimated load of the other entries shifts requests to the engine with less load,
// but must not refuse any.
func TestEstimatedPeerLoadRefusesNothing(t *testing.T) {
	is := is.New(t)
	p, f := fastAndSlow()
	u := &saddlewire.Update{}
	for i := range 12 {
		u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
	}
	f.update(u)
	heads := map[fireflysaddle.TargetID]int{}
	for range 100 { // there is capacity for 190 requests
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		heads[c.Head.ID]++
	}
	is.True(heads["slow"] >= 20)
}

// Entries that start together have no reports of one another's load. Each must leave
// capacity for the others at the fast engine.
func TestEntriesWithoutLoadReportsLeaveCapacity(t *testing.T) {
	is := is.New(t)
	p, f := fastAndSlow()
	u := &saddlewire.Update{}
	for i := range 12 {
		u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
	}
	f.update(u)
	heads := map[fireflysaddle.TargetID]int{}
	for range 15 {
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		heads[c.Head.ID]++
	}
	is.True(heads["slow"] >= 3)
}

// An engine that took over the layers of a lost one has capacity for only a few
// requests. It must not be chosen if there are many entries, because each of them might
// start a request there.
func TestManyEntriesAvoidEnginesWithLittleCapacity(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		head    string
	}{"one entry": {1, "fast"}, "twelve entries": {12, "slow"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, f := fastAndSlow()
			p.Model.MeanPromptTokens, p.Model.MeanAnswerTokens = 800, 200
			p.Model.Accelerators["fast"] = saddlerouting.Accelerator{MemoryMB: 40 + 4*4, StepTimeFactor: 1, PrefillFactor: 1} // four requests
			u := &saddlewire.Update{}
			for i := range c.entries {
				u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
			}
			f.update(u)
			chain, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
			is.True(ok)
			is.Equal(string(chain.Head.ID), c.head)
		})
	}
}

// Under low load all requests go to the fast engine.
func TestFastEngineIsPreferredUnderLowLoad(t *testing.T) {
	is := is.New(t)
	p, f := fastAndSlow()
	for range 5 {
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		is.Equal(string(c.Head.ID), "fast")
	}
}

func TestEngineIsExcludedUntilAProbeSucceeds(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	f.fleet.MarkDown(start, "a0", "its chain stalls")
	head, _, _ := f.chain(start, 1)
	is.Equal(head, "b0")
	due := f.fleet.StartDueProbes(start)
	is.Equal(len(due), 1)
	is.Equal(len(f.fleet.StartDueProbes(start)), 0) // one probe at a time
	f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{}, errReset)
	is.Equal(f.down, []string{"a0"})
	is.Equal(f.fleet.Suspects(), []string{"a0"})
	later := start.Add(2 * time.Second)
	due = f.fleet.StartDueProbes(later)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(later, due[0], fireflysaddle.EngineReport{}, nil) // it has restarted and holds no layers
	is.Equal(len(f.fleet.Suspects()), 1)
	f.fleet.RecordProbe(later, due[0], fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, nil)
	is.Equal(len(f.fleet.Suspects()), 0)
}

// An engine that another entry suspects is probed, not excluded.
func TestEngineSuspectedByAnotherEntryIsProbed(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4))
	f.update(&saddlewire.Update{Suspects: []*saddlewire.TargetCount{{Target: "a0", Entries: 1}}})
	due := f.fleet.StartDueProbes(start)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, nil)
	is.Equal(len(f.fleet.Suspects()), 0)
	is.Equal(len(f.fleet.StartDueProbes(start)), 0)
}

func TestSlowEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	head, done, _ := f.chain(start, 1)
	is.Equal(head, "a0")
	done()
	f.update(&saddlewire.Update{Leads: true, Paces: []*saddlewire.Pace{{Target: "a2", Factor: 60}}})
	head, _, _ = f.chain(start, 1)
	is.Equal(head, "b0")
}

// Requests must not send more between data centres than the link between them carries.
func TestLinkBetweenDataCentresIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("b2", "b", 2, 4))
	p := newPool()
	p.Model.ActivationBytes = 1000
	p.Model.LinkBytesPerSecond = 100_000 // the usable half carries fifty tokens per second
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		_, done, full, ok := f.fleet.PickChain(now, p, 5, nil)
		if !ok {
			is.True(full) // there is a chain, but the link budget is used up
			continue
		}
		sent += 5
		done()
	}
	is.True(sent >= 490)
	is.True(sent <= 530)
}

func TestFinishedRequestsLeaveNothingReserved(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4))
	for i := range 50 {
		_, done, _ := f.chain(start, 1+i%8)
		done()
		done() // a second call has no effect
	}
	is.Equal(fmt.Sprint(f.fleet.SectionLoads()), "[]")
}

// Pattern: an engine has just loaded layers, and its registration says so before its report
// does.
// Guards against all entries taking such an engine for one that has restarted, and control
// assigning its layers to others.
func TestEngineThatHasJustLoadedLayersIsNotSuspected(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2))
	longer := engine("a0", "a", 0, 3)
	longer.Sequence = 2
	loadedAt := start.Add(time.Minute)
	f.updateAt(loadedAt, &saddlewire.Update{Registrations: []*saddlewire.Registration{longer}})
	before := fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 2}}}
	f.fleet.RequestProbe(loadedAt, "a0")
	due := f.fleet.StartDueProbes(loadedAt)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(loadedAt.Add(100*time.Millisecond), due[0], before, nil)
	is.Equal(len(f.fleet.Suspects()), 0)
	later := loadedAt.Add(time.Second)
	f.fleet.RequestProbe(later, "a0")
	due = f.fleet.StartDueProbes(later)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(later, due[0], before, nil) // its report is not that old: it has restarted
	is.Equal(f.fleet.Suspects(), []string{"a0"})
}
