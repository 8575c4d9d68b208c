package saddlefleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/direct/saddlerouting"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// Pattern: drafts of one model fill its engines, at this entry, at the others and by the
// engines' own reports, while the engines of another model in the same data centre are idle.
// Guards against requests for the idle model that are refused for lack of capacity.
func TestLoadOfAModelTakesNoCapacityOfAnother(t *testing.T) {
	load := []*saddlewire.SectionLoad{{Group: "drafts", Centre: "a", Tokens: 120_000}}
	for name, c := range map[string]struct {
		update *saddlewire.Update
		own    bool // this entry's drafts fill the engines as well
	}{
		"load of this entry":           {update: &saddlewire.Update{}, own: true},
		"load of all entries":          {update: &saddlewire.Update{PeerDrafts: load}, own: true},
		"load of the other entries":    {update: &saddlewire.Update{PeerDrafts: load}},
		"load reported by the engines": {update: &saddlewire.Update{Leads: true, Occupied: load}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			drafts, f := fastAndSlow()
			idle := engine("idle", "a", 0, 4)
			idle.Group, idle.Accelerator = "summaries", "slow"
			f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{idle}})
			f.update(c.update)
			for full := !c.own; !full; {
				_, _, _, ok := f.fleet.PickChain(start, drafts, 1000, nil)
				full = !ok
			}
			summaries := &saddlerouting.Pool{Group: "summaries", Model: drafts.Model}
			picked := 0
			for range 90 { // 90,000 of 100,000 tokens
				if _, _, _, ok := f.fleet.PickChain(start, summaries, 1000, nil); ok {
					picked++
				}
			}
			is.Equal(picked, 90)
		})
	}
}

// An entry reports the tokens that its drafts reserve for each model by itself.
func TestLoadIsReportedByModel(t *testing.T) {
	is := is.New(t)
	drafts, f := fastAndSlow()
	idle := engine("idle", "a", 0, 4)
	idle.Group, idle.Accelerator = "summaries", "slow"
	f.update(&saddlewire.Update{Registrations: []*saddlewire.Registration{idle}})
	_, doneDraft, _, ok := f.fleet.PickChain(start, drafts, 1000, nil)
	is.True(ok)
	_, doneSummary, _, ok := f.fleet.PickChain(start, &saddlerouting.Pool{Group: "summaries", Model: drafts.Model}, 500, nil)
	is.True(ok)
	loads := f.fleet.SectionLoads()
	is.Equal(len(loads), 2)
	is.Equal(loads[0].GetGroup(), "drafts")
	is.Equal(loads[0].GetTokens(), uint64(1000))
	is.Equal(loads[1].GetGroup(), "summaries")
	is.Equal(loads[1].GetTokens(), uint64(500))
	doneDraft()
	doneSummary()
	is.Equal(len(f.fleet.SectionLoads()), 0)
}

// Guards against requests that are cut, or sent nowhere, because an engine of another writer
// reports layers that the model does not have.
func TestEngineWithForeignLayersIsNoStage(t *testing.T) {
	for name, layers := range map[string][2]uint32{"behind the model": {7, 9}, "over its end": {2, 9}, "all and more": {0, 1 << 31}, "none": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(engine("a0", "a", 0, 2), engine("a2", "a", 2, 4), engine("foreign", "a", layers[0], layers[1]))
			head, done, _ := f.chain(start, 6)
			is.Equal(head, "a0")
			done()
			alone := newFixture(engine("a0", "a", 0, 2), engine("foreign", "a", layers[0], layers[1]))
			head, _, _ = alone.chain(start, 6)
			is.Equal(head, "")
			is.True(!alone.fleet.Covered(start, newPool()))
		})
	}
}
