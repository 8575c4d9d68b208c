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

// fixture is a fleet of processes with one entry. The templates and deployments of fleetFile
// are in force on it.
type fixture struct {
	*saddleprocess.Fleet
	entry   *saddleprocess.Entry
	journal *saddlestandin.Journal
}

// newFixture starts three control replicas and an entry with the given lame-duck period.
func newFixture(t testing.TB, lameDuck string) *fixture {
	t.Helper()
	return newFixtureOnFleet(t, saddleprocess.New(t, 3), lameDuck)
}

func newFixtureOnFleet(t testing.TB, fleet *saddleprocess.Fleet, lameDuck string) *fixture {
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

// startEngine starts a stand-in engine that holds layers [from, to).
func (f *fixture) startEngine(t testing.TB, id string, from, to uint32) *saddlestandin.Engine {
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

// startTarget starts an engine and its agent.
func (f *fixture) startTarget(t testing.TB, id string, from, to uint32) (*saddlestandin.Engine, *saddleprocess.Agent) {
	t.Helper()
	e := f.startEngine(t, id, from, to)
	agent := f.StartAgent(t, "agent-"+id, "")
	agent.AnnounceTarget(t, e.Announcement())
	agent.AwaitReady(t)
	return e, agent
}

// startTargetWithRelay starts an engine and its agent, which other processes reach through
// a relay.
func (f *fixture) startTargetWithRelay(t testing.TB, id string, from, to uint32) (*saddleprocess.Agent, *saddlerelay.Relay) {
	t.Helper()
	e := f.startEngine(t, id, from, to)
	agent, relay := f.StartAgentWithRelay(t, "agent-"+id)
	agent.AnnounceTarget(t, e.Announcement())
	agent.AwaitReady(t)
	return agent, relay
}

// awaitTargets waits until a control replica lists at least n members with a target, and
// then until the entry answers a draft of one token. It does not check that the entry knows
// all n targets, because the draft needs only one complete chain.
func (f *fixture) awaitTargets(t testing.TB, n int) {
	t.Helper()
	client := f.Client(t)
	saddleprocess.Await(t, fmt.Sprintf("%d targets", n), awaitTimeout, func() error {
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
	awaitDraft(t, f.entry.Listen, "check that the model is served", 1)
}

// streamLong streams a draft of longTokens tokens, calls onThirdToken when the third token
// has arrived, and returns the tokens.
func (f *fixture) streamLong(t testing.TB, entry string, onThirdToken func()) []string {
	t.Helper()
	return f.streamTokens(t, entry, longTokens, onThirdToken)
}

// streamTokens streams a draft of n tokens, calls onThirdToken when the third token has
// arrived, and returns the tokens.
func (f *fixture) streamTokens(t testing.TB, entry string, n int, onThirdToken func()) []string {
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
	return readTokensWithCallback(t, resp.Body, 3, onThirdToken)
}

// attemptStarts returns the executions of token position 0, in the order of the journal.
// There is one for each attempt and engine that serves it, also for an engine that replaces
// another one within the attempt.
func (f *fixture) attemptStarts() []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for _, e := range f.journal.All() {
		if e.Position == 0 {
			out = append(out, e)
		}
	}
	return out
}

// attemptStartsAt returns the number of executions of token position 0 at an engine, one
// for each attempt that it served.
func (f *fixture) attemptStartsAt(engine string) int {
	n := 0
	for _, e := range f.attemptStarts() {
		if e.Engine == engine {
			n++
		}
	}
	return n
}

// interruption returns how the request with the most executions was interrupted, or "" if it
// was not. A request was interrupted if it ran in more than one attempt or if one of its
// stages ran at more than one engine.
func (f *fixture) interruption() string {
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
		if previous, ok := engines[e.LayerFrom]; ok && previous != e.Engine {
			return fmt.Sprintf("%s took over from %s", e.Engine, previous)
		}
		engines[e.LayerFrom] = e.Engine
	}
	return ""
}

func expectedLongTokens() []string {
	return saddlestandin.ExpectedTokens(longPrompt, layers, longTokens)
}

func leaderID(state *saddlewire.ReadResponse) string {
	for _, r := range state.GetReplicas() {
		if r.GetLeader() {
			return r.GetId()
		}
	}
	return ""
}
