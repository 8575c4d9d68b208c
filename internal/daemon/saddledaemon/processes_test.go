package saddledaemon_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddleprocess"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

const (
	fleetFile = "testdata/fleet.toml"
	fleetKey  = "head-office-test-key"
	layers    = 6
)

// The whole path in separate processes: a streamed draft through a chain of
// three, a plain call, a template applied, and the clean end of all.
func TestSeparateProcessesServeOnePathFromEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	journal := &saddlestandin.Journal{}
	var all []*saddleprocess.Process
	all = append(all, fleet.Controls...)
	for stage := range uint32(3) {
		all = append(all, startStage(t, fleet, journal, stage).Process)
	}
	desk, agent := startDesk(t, fleet)
	all = append(all, agent.Process)
	entries := []*saddleprocess.Entry{
		fleet.StartEntry(t, "entry-1", `lame_duck = "100ms"`),
		fleet.StartEntry(t, "entry-2", `lame_duck = "100ms"`),
	}
	all = append(all, entries[0].Process, entries[1].Process)
	for _, p := range all {
		p.AwaitReady(t)
	}

	out := fleet.RunSaddlectl(t, "apply", fleetFile, "-wait")
	is.True(strings.Contains(out, "in force on")) // apply -wait reports who confirmed

	const prompt = "please word the maintenance form"
	tokens := awaitDraft(t, entries[0].Listen, prompt, 8)
	is.Equal(tokens, saddlestandin.ExpectedTokens(prompt, layers, 8)) // the whole answer
	is.NoErr(saddlestandin.CheckOrder(journal.All()))                 // each layer once, in order

	body := awaitPost(t, entries[1].Listen, "case-1", `{"case":1}`)
	is.Equal(awaitPost(t, entries[0].Listen, "case-1", `{"case":1}`), body) // the recorded answer
	is.Equal(len(desk.Calls()), 1)                                          // filed once

	for _, p := range all {
		defer p.Stop(t)
	}
}

func startStage(t testing.TB, fleet *saddleprocess.Fleet, journal *saddlestandin.Journal, stage uint32) *saddleprocess.Agent {
	t.Helper()
	id := fmt.Sprintf("drafting-%d", stage+1)
	engine, cleanup, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: id, Model: "drafting-models", Version: "1",
		LayerFrom: stage * 2, LayerTo: stage*2 + 2, LayerCount: layers,
		Slots: 2, CacheLimit: 1024, Incarnation: 1, Journal: journal,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	agent := fleet.StartAgent(t, "agent-"+id, "")
	agent.AnnounceTarget(t, engine.Announcement())
	return agent
}

func startDesk(t testing.TB, fleet *saddleprocess.Fleet) (*saddlestandin.Service, *saddleprocess.Agent) {
	t.Helper()
	desk, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
		Address: "127.0.0.1:0", ID: "desk-1", Group: "filing-desk", Version: "1", Slots: 2, Incarnation: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	agent := fleet.StartAgent(t, "agent-desk-1", "")
	agent.AnnounceTarget(t, desk.Announcement())
	return desk, agent
}

// awaitDraft asks for a streamed draft; it asks again while the entry says
// that it was not run.
func awaitDraft(t testing.TB, entry, prompt string, n int) []string {
	t.Helper()
	var tokens []string
	saddleprocess.Await(t, "a draft", 20*time.Second, func() error {
		body := fmt.Sprintf(`{"model":"drafting-models","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, n)
		resp, err := post(entry, "/v1/completions", "", body)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			text, _ := io.ReadAll(resp.Body)
			return fmt.Errorf("status %d: %s", resp.StatusCode, text)
		}
		tokens = readTokens(t, resp.Body)
		return nil
	})
	return tokens
}

func readTokens(t testing.TB, r io.Reader) []string {
	t.Helper()
	return readTokensAt(t, r, 0, nil)
}

// readTokensAt reads a stream and calls at when so many tokens are there.
func readTokensAt(t testing.TB, r io.Reader, n int, at func()) []string {
	t.Helper()
	var tokens []string
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return tokens
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatal(err)
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Text != "" {
			tokens = append(tokens, chunk.Choices[0].Text)
			if len(tokens) == n {
				at()
			}
		}
	}
	t.Fatalf("the stream broke off: %v", lines.Err())
	return nil
}

func awaitPost(t testing.TB, entry, key, body string) string {
	t.Helper()
	var answer string
	saddleprocess.Await(t, "an answer", 20*time.Second, func() error {
		resp, err := post(entry, "/services/filing-desk/cases", key, body)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusCreated {
			return fmt.Errorf("status %d: %s", resp.StatusCode, text)
		}
		answer = string(text)
		return nil
	})
	return answer
}

func post(entry, path, key, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+fleetKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}
