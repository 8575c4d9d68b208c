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
	apiKey    = "head-office-test-key"
	layers    = 6
)

// Separate processes serve a streamed draft through a chain of three stages and a service
// request, apply a template, and shut down cleanly.
func TestSeparateProcessesServeRequestsEndToEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fleet := saddleprocess.New(t, 3)
	journal := &saddlestandin.Journal{}
	var processes []*saddleprocess.Process
	processes = append(processes, fleet.Controls...)
	for stage := range uint32(3) {
		processes = append(processes, startStage(t, fleet, journal, stage).Process)
	}
	service, serviceAgent := startFilingService(t, fleet)
	processes = append(processes, serviceAgent.Process)
	entries := []*saddleprocess.Entry{
		fleet.StartEntry(t, "entry-1", `lame_duck = "100ms"`),
		fleet.StartEntry(t, "entry-2", `lame_duck = "100ms"`),
	}
	processes = append(processes, entries[0].Process, entries[1].Process)
	for _, p := range processes {
		p.AwaitReady(t)
	}

	out := fleet.RunSaddlectl(t, "apply", fleetFile, "-wait")
	is.True(strings.Contains(out, "in force on")) // apply -wait reports the nodes that confirmed

	const prompt = "please word the maintenance form"
	tokens := awaitDraft(t, entries[0].Listen, prompt, 8)
	is.Equal(tokens, saddlestandin.ExpectedTokens(prompt, layers, 8)) // the whole answer
	is.NoErr(saddlestandin.CheckOrder(journal.All()))                 // each layer ran each position once, in order

	body := awaitServiceAnswer(t, entries[1].Listen, "case-1", `{"case":1}`)
	is.Equal(awaitServiceAnswer(t, entries[0].Listen, "case-1", `{"case":1}`), body) // replayed, not run again
	is.Equal(len(service.Calls()), 1)                                                // executed once

	for _, p := range processes {
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

func startFilingService(t testing.TB, fleet *saddleprocess.Fleet) (*saddlestandin.Service, *saddleprocess.Agent) {
	t.Helper()
	service, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
		Address: "127.0.0.1:0", ID: "desk-1", Group: "filing-desk", Version: "1", Slots: 2, Incarnation: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	agent := fleet.StartAgent(t, "agent-desk-1", "")
	agent.AnnounceTarget(t, service.Announcement())
	return service, agent
}

// awaitDraft requests a streamed draft of n tokens, retries until the entry accepts it, and
// returns its tokens.
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
	return readTokensWithCallback(t, r, 0, nil)
}

// readTokensWithCallback reads a stream to its end and calls onNthToken when n tokens have
// arrived.
func readTokensWithCallback(t testing.TB, r io.Reader, n int, onNthToken func()) []string {
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
				onNthToken()
			}
		}
	}
	t.Fatalf("the stream ended without [DONE]: %v", lines.Err())
	return nil
}

func awaitServiceAnswer(t testing.TB, entry, key, body string) string {
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
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return http.DefaultClient.Do(req)
}
