package saddledemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// caller is an HTTP client that authenticates with the API key of a workspace.
type caller struct {
	client *http.Client
	apiKey string
}

// completionChunk is one event of a streamed completion, with only the fields
// that the caller reads.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// draft requests a streamed completion from an entry and returns its tokens.
// onToken is called after each token with the number of tokens received.
func (c *caller) draft(ctx context.Context, entry, model, prompt string, maxTokens int, onToken func(int)) ([]string, error) {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, prompt, maxTokens)
	resp, err := c.send(ctx, http.MethodPost, "http://"+entry+"/v1/completions", body, "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	var tokens []string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			return tokens, nil
		}
		var chunk completionChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return tokens, err
		}
		if chunk.Error != nil {
			return tokens, fmt.Errorf("the stream ended with error code %s", chunk.Error.Code)
		}
		if len(chunk.Choices) > 0 && chunk.Choices[0].Text != "" {
			tokens = append(tokens, chunk.Choices[0].Text)
			onToken(len(tokens))
		}
	}
	return tokens, fmt.Errorf("the stream ended before [DONE]: %w", lines.Err())
}

// postOnce sends a request to a service and returns the body of the answer. The
// request has an idempotency key, so that it runs at most once.
func (c *caller) postOnce(ctx context.Context, entry, idempotencyKey, body string) (string, error) {
	resp, err := c.send(ctx, http.MethodPost, "http://"+entry+"/services/"+serviceGroup+"/results", body, idempotencyKey)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusCreated {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return string(text), err
}

func (c *caller) send(ctx context.Context, method, url, body, idempotencyKey string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.client.Do(req)
}
