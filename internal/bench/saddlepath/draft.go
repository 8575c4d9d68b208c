package saddlepath

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
)

// Draft holds the measured times of one draft.
type Draft struct {
	FirstToken time.Duration // time to the first token
	Total      time.Duration // time to the end of the answer
}

// draftTimer counts the tokens of a draft and measures its times.
type draftTimer struct {
	start  time.Time
	draft  Draft
	tokens int
}

func (t *draftTimer) recordToken() {
	if t.tokens == 0 {
		t.draft.FirstToken = time.Since(t.start)
	}
	t.tokens++
}

// finish stops the timer. It returns an error unless the draft had exactly
// wantTokens tokens.
func (t *draftTimer) finish(wantTokens int) (Draft, error) {
	t.draft.Total = time.Since(t.start)
	if t.tokens != wantTokens {
		return t.draft, fmt.Errorf("received %d tokens, expected %d", t.tokens, wantTokens)
	}
	return t.draft, nil
}

// DraftDirect requests a number of tokens from the engine, without entry and agent.
func (f *Fleet) DraftDirect(ctx context.Context, prompt string, tokens int) (Draft, error) {
	t := &draftTimer{start: time.Now()}
	err := f.engine.Generate(ctx, fireflysaddle.Generation{
		Request:   fireflysaddle.RequestID(uuid.NewString()),
		Attempt:   1,
		Prompt:    prompt,
		MaxTokens: uint32(tokens),
	}, func(string) error {
		t.recordToken()
		return nil
	})
	if err != nil {
		return t.draft, err
	}
	return t.finish(tokens)
}

var (
	dataPrefix        = []byte("data: ")
	doneLine          = []byte("data: [DONE]")
	finishReasonField = []byte(`"finish_reason":"`)
)

// DraftViaEntry requests a number of tokens from the entry.
func (f *Fleet) DraftViaEntry(ctx context.Context, prompt string, tokens int) (Draft, error) {
	t := &draftTimer{start: time.Now()}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entryAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return t.draft, err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return t.draft, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return t.draft, fmt.Errorf("entry answered with status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.Equal(line, doneLine):
		case bytes.HasPrefix(line, dataPrefix) && !bytes.Contains(line, finishReasonField):
			t.recordToken()
		}
	}
	if err := lines.Err(); err != nil {
		return t.draft, err
	}
	return t.finish(tokens)
}
