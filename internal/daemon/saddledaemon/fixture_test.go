package saddledaemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlerelay"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	longTokens = 150
	longPrompt = "a long guidance for the protection form"
	tokenTime  = 10 * time.Millisecond
)

// fixture is a fleet of processes with one entry and the templates applied.
type fixture struct {
	*saddleprocess.Fleet
	entry   *saddleprocess.Entry
	journal *saddlestandin.Journal
}

// newFixture starts control and an entry with a lame-duck time.
func newFixture(t testing.TB, lameDuck string) *fixture {
	t.Helper()
	return fixtureOn(t, saddleprocess.New(t, 3), lameDuck)
}

func fixtureOn(t testing.TB, fleet *saddleprocess.Fleet, lameDuck string) *fixture {
	t.Helper()
	f := &fixture{Fleet: fleet, journal: &saddlestandin.Journal{}}
	f.entry = fleet.StartEntry(t, "entry-1", fmt.Sprintf("lame_duck = %q", lameDuck))
	for _, c := range fleet.Controls {
		c.AwaitReady(t)
	}
	f.entry.AwaitReady(t)
	fleet.RunSaddlectl(t, "apply", fleetFile, "-wait")
	return f
}

// engine starts a stand-in engine that holds layers [from, to).
func (f *fixture) engine(t testing.TB, id string, from, to uint32) *saddlestandin.Engine {
	t.Helper()
	e, cleanup, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: id, Model: "drafting-models", Version: "1",
		LayerFrom: from, LayerTo: to, LayerCount: layers, Slots: 4, TokenTime: tokenTime,
		CacheLimit: 1024, Incarnation: 1, Journal: f.journal,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return e
}

// target starts an engine and the agent beside it.
func (f *fixture) target(t testing.TB, id string, from, to uint32) (*saddlestandin.Engine, *saddleprocess.Agent) {
	t.Helper()
	e := f.engine(t, id, from, to)
	agent := f.StartAgent(t, "agent-"+id, "")
	agent.AnnounceTarget(t, e.Announcement())
	agent.AwaitReady(t)
	return e, agent
}

// targetBehind is target with a relay before the agent.
func (f *fixture) targetBehind(t testing.TB, id string, from, to uint32) (*saddleprocess.Agent, *saddlerelay.Relay) {
	t.Helper()
	e := f.engine(t, id, from, to)
	agent, relay := f.StartAgentWithRelay(t, "agent-"+id)
	agent.AnnounceTarget(t, e.Announcement())
	agent.AwaitReady(t)
	return agent, relay
}

// awaitTargets waits until the entry serves the model from n targets at least:
// control lists them, and the entry hears of them with the same update.
func (f *fixture) awaitTargets(t testing.TB, n int) {
	t.Helper()
	client := f.Client(t)
	saddleprocess.Await(t, fmt.Sprintf("%d targets", n), awaitTime, func() error {
		state, err := readState(client)
		if err != nil {
			return err
		}
		found := 0
		for _, m := range state.GetMembers() {
			if m.GetTarget() != nil {
				found++
			}
		}
		if found < n {
			return fmt.Errorf("%d targets", found)
		}
		return nil
	})
	awaitDraft(t, f.entry.Listen, "is anybody there", 1)
}

// stream asks for the long draft and calls at once its third token is there.
// It returns the tokens.
func (f *fixture) stream(t testing.TB, entry string, at func()) []string {
	t.Helper()
	return f.streamOf(t, entry, longTokens, at)
}

// streamOf is stream with a number of tokens.
func (f *fixture) streamOf(t testing.TB, entry string, n int, at func()) []string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"drafting-models","prompt":%q,"max_tokens":%d,"stream":true}`, longPrompt, n)
	resp, err := post(entry, "/v1/completions", "", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	return readTokensAt(t, resp.Body, 3, at)
}

// starts returns the engines that ran the first position of an attempt, in
// order.
func (f *fixture) starts() []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for _, e := range f.journal.All() {
		if e.Position == 0 {
			out = append(out, e)
		}
	}
	return out
}

// startsAt counts the attempts that began at an engine.
func (f *fixture) startsAt(engine string) int {
	n := 0
	for _, e := range f.starts() {
		if e.Engine == engine {
			n++
		}
	}
	return n
}

// cutOff returns how the longest request was cut off, empty when it was not: it
// ran in more than one attempt, or its layers at more than one engine.
func (f *fixture) cutOff() string {
	byRequest := map[string][]saddlestandin.Execution{}
	longest := ""
	for _, e := range f.journal.All() {
		byRequest[e.Request] = append(byRequest[e.Request], e)
		if len(byRequest[e.Request]) > len(byRequest[longest]) {
			longest = e.Request
		}
	}
	engines := map[uint32]string{} // by first layer
	for _, e := range byRequest[longest] {
		if e.Attempt != 1 {
			return fmt.Sprintf("attempt %d ran at %s", e.Attempt, e.Engine)
		}
		if before, ok := engines[e.LayerFrom]; ok && before != e.Engine {
			return fmt.Sprintf("%s took over from %s", e.Engine, before)
		}
		engines[e.LayerFrom] = e.Engine
	}
	return ""
}

func expectedLong() []string {
	return saddlestandin.ExpectedTokens(longPrompt, layers, longTokens)
}

func leaderOf(state *saddlewire.ReadResponse) string {
	for _, r := range state.GetReplicas() {
		if r.GetLeader() {
			return r.GetId()
		}
	}
	return ""
}
