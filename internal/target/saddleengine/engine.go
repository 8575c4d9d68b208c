package saddleengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/fireflysaddle/fireflysaddle"
)

const (
	maxAnswerBytes = 64 << 20
	maxHeaderBytes = 64 << 10
	// maxLineBytes bounds a line of a token stream. A line holds the text of one token.
	maxLineBytes = 256 << 10
)

// Engine implements fireflysaddle.Engine over HTTP.
type Engine struct {
	target  fireflysaddle.TargetID
	address string
	client  *http.Client
}

// New returns an adapter to the engine at an address, and a function that closes
// its idle connections.
func New(target fireflysaddle.TargetID, address string) (*Engine, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxResponseHeaderBytes: maxHeaderBytes}
	e := &Engine{target: target, address: address, client: &http.Client{Transport: transport}}
	return e, transport.CloseIdleConnections
}

// Generate runs a request on an engine that holds every layer, and calls emit with
// each token.
func (e *Engine) Generate(ctx context.Context, g fireflysaddle.Generation, emit func(text string) error) error {
	body := GenerateRequest{
		Request:   string(g.Request),
		Attempt:   uint32(g.Attempt),
		Priority:  int32(g.Priority),
		Prompt:    g.Prompt,
		Delivered: g.Delivered,
		MaxTokens: g.MaxTokens,
	}
	resp, err := e.post(ctx, PathGenerate, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var line GenerateLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return e.targetError(fmt.Errorf("decode a line of the token stream: %w", err))
		}
		if line.Done {
			return nil
		}
		if err := emit(line.Text); err != nil {
			return err
		}
	}
	err = lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return e.targetError(fmt.Errorf("token stream ended early: %w", err))
}

// Step runs the engine's layers for one step of a request.
func (e *Engine) Step(ctx context.Context, s fireflysaddle.Step) (fireflysaddle.StepResult, error) {
	body := StepRequest{
		Request:    string(s.Request),
		Attempt:    uint32(s.Attempt),
		Priority:   int32(s.Priority),
		Position:   uint32(s.Position),
		Prompt:     s.Prompt,
		Delivered:  s.Delivered,
		Token:      s.Token,
		Activation: s.Activation,
		Count:      s.Count,
	}
	var answer StepAnswer
	err := e.call(ctx, PathStep, body, &answer)
	return fireflysaddle.StepResult{Activation: answer.Activation, Count: answer.Count, Token: answer.Token}, err
}

// Cancel makes the engine discard its state of an attempt.
func (e *Engine) Cancel(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) error {
	return e.call(ctx, PathCancel, AttemptRequest{Request: string(id), Attempt: uint32(attempt)}, nil)
}

// Export returns the KV cache of an attempt.
func (e *Engine) Export(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt) (fireflysaddle.KVCache, error) {
	var answer KVCacheBody
	err := e.call(ctx, PathExport, AttemptRequest{Request: string(id), Attempt: uint32(attempt)}, &answer)
	return fireflysaddle.KVCache{Positions: fireflysaddle.Position(answer.Positions), Data: answer.Data}, err
}

// Import loads the KV cache of an attempt into the engine.
func (e *Engine) Import(ctx context.Context, id fireflysaddle.RequestID, attempt fireflysaddle.Attempt, kv fireflysaddle.KVCache) error {
	body := KVCacheBody{Request: string(id), Attempt: uint32(attempt), Positions: uint32(kv.Positions), Data: kv.Data}
	return e.call(ctx, PathImport, body, nil)
}

// Order sends the engine an order with its fencing token.
func (e *Engine) Order(ctx context.Context, o fireflysaddle.Order) error {
	body := OrderRequest{Term: uint64(o.Fence.Term), Sequence: uint64(o.Fence.Sequence), Action: o.Action, Subject: o.Subject}
	return e.call(ctx, PathOrders, body, nil)
}

// Alive returns nil if the engine answers an HTTP request, whatever the status.
func (e *Engine) Alive(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.address+PathAlive, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return e.targetError(err)
	}
	return resp.Body.Close()
}

func (e *Engine) call(ctx context.Context, path string, body, answer any) error {
	resp, err := e.post(ctx, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if answer == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(answer)
	}
	if err != nil {
		return e.targetError(err)
	}
	return nil
}

// post sends a request once. The body cannot be rewound, so the HTTP client
// never retries the request by itself. A response with a status other than 200 is
// returned as an error.
func (e *Engine) post(ctx context.Context, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = int64(len(data))
	resp, err := e.client.Do(req)
	switch {
	case err != nil && !connected.Load():
		return nil, &fireflysaddle.NotSentError{Address: e.address, Err: err}
	case err != nil:
		return nil, e.targetError(err)
	case resp.StatusCode != http.StatusOK:
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		return nil, e.targetError(fmt.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)))
	}
	return resp, nil
}

// targetError wraps err in a *fireflysaddle.TargetError unless it contains one.
func (e *Engine) targetError(err error) error {
	var targetErr *fireflysaddle.TargetError
	if errors.As(err, &targetErr) {
		return err
	}
	return &fireflysaddle.TargetError{Target: e.target, Err: err}
}
