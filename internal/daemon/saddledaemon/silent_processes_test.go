package saddledaemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlerelay"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// The connections to a stage's agent fall silent for good in the middle of a
// stream, while new ones work: from the entry to the head, and between stages.
func TestASilentConnectionLosesNoDraft(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		bound  []uint32
		silent int // stage whose connections fall silent
	}{
		{"entry to the only stage", []uint32{0, layers}, 0},
		{"entry to the head, and the last stage to the head", []uint32{0, 3, layers}, 0},
		{"head to the next stage", []uint32{0, 3, layers}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			var relays []*saddlerelay.Relay
			for i := range len(c.bound) - 1 {
				_, relay := f.targetBehind(t, fmt.Sprintf("stage-%d", i), c.bound[i], c.bound[i+1])
				relays = append(relays, relay)
			}
			f.awaitTargets(t, len(relays))
			tokens := f.stream(t, f.entry.Listen, relays[c.silent].DropTraffic)
			is.Equal(tokens, expectedLong())
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// A filing whose connection falls silent after it was dispatched is answered
// once, with the answer that the desk gave.
func TestASilentConnectionNeitherLosesNorRepeatsAFiling(t *testing.T) {
	t.Parallel()
	for _, key := range []string{"", "case-9"} {
		t.Run("key="+key, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			desk, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
				Address: "127.0.0.1:0", ID: "desk-1", Group: "filing-desk", Version: "1",
				Slots: 2, Incarnation: 1, CallTime: 2 * time.Second,
			})
			is.NoErr(err)
			t.Cleanup(cleanup)
			agent, relay := f.StartAgentWithRelay(t, "agent-desk-1")
			agent.AnnounceTarget(t, desk.Announcement())
			agent.AwaitReady(t)
			go func() {
				for len(desk.Calls()) == 0 {
					time.Sleep(tokenTime)
				}
				relay.DropTraffic()
			}()
			answer := awaitPost(t, f.entry.Listen, key, `{"case":9}`)
			is.Equal(answer, `{"receipt":"desk-1-1"}`)
			is.Equal(len(desk.Calls()), 1)
		})
	}
}

// All connections to and between the control replicas fall silent for good;
// new ones work. A change is accepted and in force everywhere all the same.
func TestSilentControlConnectionsAreDialledAnew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, relays := saddleprocess.NewWithRelays(t, 3)
	f := fixtureOn(t, fleet, "0s")
	f.target(t, "drafting-1", 0, layers)
	f.awaitTargets(t, 1)
	for _, r := range relays {
		r.DropTraffic()
	}
	f.RunSaddlectl(t, "drain", "drafting-1", "-wait", "-timeout", "30s")
	state, err := readState(f.Client(t))
	is.NoErr(err)
	for _, m := range state.GetMembers() {
		is.True(m.GetRevision() >= state.GetRevision()) // in force everywhere
	}
}

// An agent that is frozen in the middle of a stream loses it to another one,
// and serves again once it runs on.
func TestAFrozenAgentLosesNoDraftAndComesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	agents := map[string]*saddleprocess.Agent{}
	_, agents["drafting-1"] = f.target(t, "drafting-1", 0, layers)
	_, agents["drafting-2"] = f.target(t, "drafting-2", 0, layers)
	f.awaitTargets(t, 2)
	var frozen string
	tokens := f.stream(t, f.entry.Listen, func() {
		frozen = f.stageOfLastStart(0)
		agents[frozen].Freeze(t)
	})
	is.Equal(tokens, expectedLong())
	agents[frozen].Thaw()
	f.awaitStartAt(t, frozen)
}

// An engine that is frozen in the middle of a stream loses it to another one.
func TestAFrozenEngineLosesNoDraft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	engines := map[string]*saddlestandin.Engine{}
	engines["drafting-1"], _ = f.target(t, "drafting-1", 0, layers)
	engines["drafting-2"], _ = f.target(t, "drafting-2", 0, layers)
	f.awaitTargets(t, 2)
	var frozen *saddlestandin.Engine
	tokens := f.stream(t, f.entry.Listen, func() {
		frozen = engines[f.stageOfLastStart(0)]
		frozen.Freeze()
	})
	frozen.Thaw()
	is.Equal(tokens, expectedLong())
}
