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

func pool() *saddlerouting.Pool {
	return &saddlerouting.Pool{Group: "drafts", Model: &saddlerouting.Model{
		Layers: 4, LayerMB: 10, TokenBytes: 4_000_000, Step: time.Millisecond, PrefillTokensPerSecond: 1e6,
		Accelerators: map[fireflysaddle.Accelerator]saddlerouting.Accelerator{"big": {MemoryMB: 40, Pace: 1, PrefillFactor: 1}},
	}}
}

func (f *fixture) chain(now time.Time, tokens int) (head string, done func(), full bool) {
	c, done, full, ok := f.fleet.PickChain(now, pool(), tokens, nil)
	if !ok {
		return "", func() {}, full
	}
	return string(c.Head.ID), done, false
}

// Two layers leave an engine 20 MB, which is room for ten tokens of 1 MB at each.
func TestAChainHasRoomAtEveryStage(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 4))
	head, done, _ := f.chain(start, 6)
	is.Equal(head, "a0")
	other, _, _ := f.chain(start, 6)
	is.Equal(other, "") // b0 holds four layers and has room for none
	_, _, full := f.chain(start, 6)
	is.True(full)
	done()
	head, _, _ = f.chain(start, 6)
	is.Equal(head, "a0")
}

func TestRoomIsSharedWithTheOtherEntries(t *testing.T) {
	for name, u := range map[string]*saddlewire.Update{
		"by what they report":          {Loads: []*saddlewire.EntryLoad{{Node: "entry-2", Drafts: []*saddlewire.CentreLoad{{Centre: "a", Tokens: 8}}}}},
		"by what the engines say":      {Leads: true, Occupied: []*saddlewire.CentreLoad{{Centre: "a", Tokens: 8}}},
		"not by what itself reports":   {Loads: []*saddlewire.EntryLoad{{Node: "entry-1", Drafts: []*saddlewire.CentreLoad{{Centre: "a", Tokens: 8}}}}},
		"not by those of another city": {Loads: []*saddlewire.EntryLoad{{Node: "entry-2", Drafts: []*saddlewire.CentreLoad{{Centre: "b", Tokens: 8}}}}},
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

// twoCopies is a pool whose layers a fast engine and a slow one each hold whole, with
// room for a hundred thousand tokens.
func twoCopies() (*saddlerouting.Pool, *fixture) {
	p := pool()
	p.Model.TokenBytes = 4000
	p.Model.Accelerators = map[fireflysaddle.Accelerator]saddlerouting.Accelerator{
		"fast": {MemoryMB: 440, Pace: 1, PrefillFactor: 1},
		"slow": {MemoryMB: 440, Pace: 5, PrefillFactor: 5},
	}
	fast, slow := engine("fast", "a", 0, 4), engine("slow", "a", 0, 4)
	fast.Accelerator, slow.Accelerator = "fast", "slow"
	return p, newFixture(fast, slow)
}

// Every entry sees only its own drafts exactly. If each filled the fast engine until
// its own estimate says that it is full, the engine would have to refuse most of them.
func TestEntriesThatChooseAlikeDoNotOverfillTheFastEngine(t *testing.T) {
	is := is.New(t)
	p, f := twoCopies()
	f.update(&saddlewire.Update{Loads: []*saddlewire.EntryLoad{{Node: "entry-2", Drafts: []*saddlewire.CentreLoad{{Centre: "a", Tokens: 120_000}}}}})
	heads := map[fireflysaddle.TargetID]int{}
	for range 10 {
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		heads[c.Head.ID]++
	}
	is.True(heads["fast"] >= 5)
	is.True(heads["slow"] >= 3)
}

// What the others may have is a guess: it leads to the emptier engine, and refuses
// nothing.
func TestAGuessOfTheOthersLoadRefusesNothing(t *testing.T) {
	is := is.New(t)
	p, f := twoCopies()
	u := &saddlewire.Update{}
	for i := range 12 {
		u.Members = append(u.Members, &saddlewire.Member{Node: fmt.Sprint("entry-", i+1), Role: "entry", Centre: "a"})
	}
	f.update(u)
	heads := map[fireflysaddle.TargetID]int{}
	for range 100 { // of 190 that have room
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		heads[c.Head.ID]++
	}
	is.True(heads["slow"] >= 20)
}

// Entries that start together know nothing of one another: each leaves room for the
// others at the fast engine.
func TestEntriesThatKnowNothingOfOneAnotherLeaveRoom(t *testing.T) {
	is := is.New(t)
	p, f := twoCopies()
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

// An engine that took over layers of a lost one has room for a few drafts: with many
// entries, each of which would begin one, it is left alone.
func TestEnginesWithLittleRoomAreLeftToFewEntries(t *testing.T) {
	for name, c := range map[string]struct {
		entries int
		head    string
	}{"few": {1, "fast"}, "many": {12, "slow"}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, f := twoCopies()
			p.Model.MeanPromptTokens, p.Model.MeanAnswerTokens = 800, 200
			p.Model.Accelerators["fast"] = saddlerouting.Accelerator{MemoryMB: 40 + 4*4, Pace: 1, PrefillFactor: 1} // four drafts
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

// With little load the fast engine is used alone.
func TestTheFastEngineGoesFirst(t *testing.T) {
	is := is.New(t)
	p, f := twoCopies()
	for range 5 {
		c, _, _, ok := f.fleet.PickChain(start, p, 1000, nil)
		is.True(ok)
		is.Equal(string(c.Head.ID), "fast")
	}
}

func TestAnEngineIsPassedOverUntilItTellsItsState(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	f.fleet.MarkDown(start, "a0", "its chain stalls")
	head, _, _ := f.chain(start, 1)
	is.Equal(head, "b0")
	due := f.fleet.StartDueProbes(start)
	is.Equal(len(due), 1)
	is.Equal(len(f.fleet.StartDueProbes(start)), 0) // asked once at a time
	f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{}, errReset)
	is.Equal(f.down, []string{"a0"})
	is.Equal(f.fleet.Suspects(), []string{"a0"})
	later := start.Add(2 * time.Second)
	due = f.fleet.StartDueProbes(later)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(later, due[0], fireflysaddle.EngineReport{}, nil) // it holds nothing any more
	is.Equal(len(f.fleet.Suspects()), 1)
	f.fleet.RecordProbe(later, due[0], fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, nil)
	is.Equal(len(f.fleet.Suspects()), 0)
}

// What another entry says of an engine is looked into, not believed.
func TestAnotherEntrysWordIsLookedInto(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 4))
	f.update(&saddlewire.Update{Members: []*saddlewire.Member{{Node: "entry-2", Role: "entry", Suspects: []string{"a0"}}}})
	due := f.fleet.StartDueProbes(start)
	is.Equal(len(due), 1)
	f.fleet.RecordProbe(start, due[0], fireflysaddle.EngineReport{Holdings: []fireflysaddle.Holding{{From: 0, To: 4}}}, nil)
	is.Equal(len(f.fleet.Suspects()), 0)
	is.Equal(len(f.fleet.StartDueProbes(start)), 0)
}

func TestASlowEngineIsPassedBy(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("b0", "b", 0, 2), engine("b2", "b", 2, 4))
	head, done, _ := f.chain(start, 1)
	is.Equal(head, "a0")
	done()
	f.update(&saddlewire.Update{Leads: true, Paces: []*saddlewire.Pace{{Target: "a2", Factor: 60}}})
	head, _, _ = f.chain(start, 1)
	is.Equal(head, "b0")
}

// Drafts cross between data centres no faster than the line between them carries.
func TestTheLineBetweenDataCentresIsNotOverrun(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("b2", "b", 2, 4))
	p := pool()
	p.Model.ActivationBytes = 1000
	p.Model.LinkBytesPerSecond = 100_000 // a second: fifty tokens of those that are planned for
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(10 * time.Millisecond) {
		_, done, full, ok := f.fleet.PickChain(now, p, 5, nil)
		if !ok {
			is.True(full) // there is a chain, but not now
			continue
		}
		sent += 5
		done()
	}
	is.True(sent >= 490)
	is.True(sent <= 530)
}

func TestNothingIsLeftReservedWhenAllHaveEnded(t *testing.T) {
	is := is.New(t)
	f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4))
	for i := range 50 {
		_, done, _ := f.chain(start, 1+i%8)
		done()
		done() // may be called again
	}
	is.Equal(fmt.Sprint(f.fleet.CentreLoads()), "[]")
}
