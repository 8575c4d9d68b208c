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

// The open connections to a stage's agent go silent during a stream without being closed,
// while new connections work. Covers connections from the entry to the head and between
// stages.
func TestSilentConnectionLosesNoDraft(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name        string
		boundaries  []uint32
		silentStage int // index of the stage whose connections go silent
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
			for i := range len(c.boundaries) - 1 {
				_, relay := f.startTargetWithRelay(t, fmt.Sprintf("stage-%d", i), c.boundaries[i], c.boundaries[i+1])
				relays = append(relays, relay)
			}
			f.awaitTargets(t, len(relays))
			tokens := f.streamLong(t, f.entry.Listen, relays[c.silentStage].DropTraffic)
			is.Equal(tokens, expectedLongTokens())
			is.NoErr(saddlestandin.CheckOrder(f.journal.All()))
		})
	}
}

// The connection goes silent after a filing, a service request that is not idempotent, was
// dispatched. The caller gets the service's answer, and the request is executed once.
func TestSilentConnectionNeitherLosesNorRepeatsFiling(t *testing.T) {
	t.Parallel()
	for _, key := range []string{"", "case-9"} {
		t.Run("key="+key, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, "0s")
			service, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
				Address: "127.0.0.1:0", ID: "desk-1", Group: "filing-desk", Version: "1",
				Slots: 2, Incarnation: 1, CallTime: 2 * time.Second,
			})
			is.NoErr(err)
			t.Cleanup(cleanup)
			agent, relay := f.StartAgentWithRelay(t, "agent-desk-1")
			agent.AnnounceTarget(t, service.Announcement())
			agent.AwaitReady(t)
			go func() {
				for len(service.Calls()) == 0 {
					time.Sleep(tokenTime)
				}
				relay.DropTraffic()
			}()
			answer := awaitServiceAnswer(t, f.entry.Listen, key, `{"case":9}`)
			is.Equal(answer, `{"receipt":"desk-1-1"}`)
			is.Equal(len(service.Calls()), 1)
		})
	}
}

// All open connections to and between the control replicas go silent without being closed,
// while new connections work. A change must still be accepted and come into force on all
// nodes.
func TestSilentControlConnectionsAreRedialled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet, relays := saddleprocess.NewWithRelays(t, 3)
	f := newFixtureOnFleet(t, fleet, "0s")
	f.startTarget(t, "drafting-1", 0, layers)
	f.awaitTargets(t, 1)
	for _, r := range relays {
		r.DropTraffic()
	}
	f.RunSaddlectl(t, "drain", "drafting-1", "-wait", "-timeout", "30s")
	state, err := readState(f.Client(t))
	is.NoErr(err)
	for _, m := range state.GetMembers() {
		is.True(m.GetRevision() >= state.GetRevision()) // in force on all nodes
	}
}

// An agent is frozen during a stream. Another agent completes the stream, and the frozen
// one serves again after it resumes.
func TestFrozenAgentLosesNoDraftAndRecovers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	agents := map[string]*saddleprocess.Agent{}
	_, agents["drafting-1"] = f.startTarget(t, "drafting-1", 0, layers)
	_, agents["drafting-2"] = f.startTarget(t, "drafting-2", 0, layers)
	f.awaitTargets(t, 2)
	var frozen string
	tokens := f.streamLong(t, f.entry.Listen, func() {
		frozen = f.engineOfLastStart(0)
		agents[frozen].Freeze(t)
	})
	is.Equal(tokens, expectedLongTokens())
	agents[frozen].Thaw()
	f.awaitAttemptStartAt(t, frozen)
}

// An engine is frozen during a stream. Another engine completes the stream.
func TestFrozenEngineLosesNoDraft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, "0s")
	engines := map[string]*saddlestandin.Engine{}
	engines["drafting-1"], _ = f.startTarget(t, "drafting-1", 0, layers)
	engines["drafting-2"], _ = f.startTarget(t, "drafting-2", 0, layers)
	f.awaitTargets(t, 2)
	var frozen *saddlestandin.Engine
	tokens := f.streamLong(t, f.entry.Listen, func() {
		frozen = engines[f.engineOfLastStart(0)]
		frozen.Freeze()
	})
	frozen.Thaw()
	is.Equal(tokens, expectedLongTokens())
}
