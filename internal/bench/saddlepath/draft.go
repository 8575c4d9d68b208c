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

// Draft is how one draft went.
type Draft struct {
	First time.Duration // until the first token
	Took  time.Duration
}

// tokens counts tokens and notes the time of the first.
type tokens struct {
	start time.Time
	draft Draft
	n     int
}

func (t *tokens) add() {
	if t.n == 0 {
		t.draft.First = time.Since(t.start)
	}
	t.n++
}

// end checks the number of tokens.
func (t *tokens) end(want int) (Draft, error) {
	t.draft.Took = time.Since(t.start)
	if t.n != want {
		return t.draft, fmt.Errorf("%d tokens, expected %d", t.n, want)
	}
	return t.draft, nil
}

// Direct asks the engine itself for n tokens.
func (f *Fleet) Direct(ctx context.Context, prompt string, n int) (Draft, error) {
	t := &tokens{start: time.Now()}
	err := f.engine.Generate(ctx, fireflysaddle.Generation{
		Request:   fireflysaddle.RequestID(uuid.NewString()),
		Attempt:   1,
		Prompt:    prompt,
		MaxTokens: uint32(n),
	}, func(string) error {
		t.add()
		return nil
	})
	if err != nil {
		return t.draft, err
	}
	return t.end(n)
}

var (
	dataMark = []byte("data: ")
	endMark  = []byte("data: [DONE]")
	lastMark = []byte(`"finish_reason":"`)
)

// Through asks the entry for n tokens.
func (f *Fleet) Through(ctx context.Context, prompt string, n int) (Draft, error) {
	t := &tokens{start: time.Now()}
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entry+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return t.draft, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return t.draft, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return t.draft, fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.Equal(line, endMark):
		case bytes.HasPrefix(line, dataMark) && !bytes.Contains(line, lastMark):
			t.add()
		}
	}
	if err := lines.Err(); err != nil {
		return t.draft, err
	}
	return t.end(n)
}
