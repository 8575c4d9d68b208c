package saddleslope

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	model                 = "mastori"
	apiKey                = "slopes-key"
	concurrentCallers     = 8
	longAnswerTokens      = 500
	requestTemplateFormat = "name = \"path\"\n[deployment]\nkeys = [%q]\nmodels = [{ name = %q }]\n"
	announceInterval      = 100 * time.Millisecond
)

// measureRequests sends requests through an entry and an agent to a stand-in
// engine, all in this process. Answers with one token give the cost of a
// request. Long answers give the cost of a token.
func measureRequests(ctx context.Context, o options, r *report) error {
	p, cleanup, err := newRequestPath(ctx)
	if err != nil {
		return err
	}
	defer cleanup()
	for _, n := range o.sizes(400, 1200, 3600) {
		cpuNs := cpuNanoseconds(func() { err = p.sendDrafts(ctx, n, 1) })
		if err != nil {
			return err
		}
		r.add("processor time of a request with one token, all ends", "ns", "request", n, cpuNs)
	}
	for _, n := range o.sizes(40, 120, 360) {
		cpuNs := cpuNanoseconds(func() { err = p.sendDrafts(ctx, n, longAnswerTokens) })
		if err != nil {
			return err
		}
		r.add("processor time of a token, all ends", "ns", "token", n*longAnswerTokens, cpuNs)
	}
	return nil
}

// requestPath is a control replica, an entry, an agent and its engine, all in
// this process.
type requestPath struct {
	entryAddress string
}

// newRequestPath starts the daemons and the engine and waits until a request is
// answered. The returned function stops the daemons and the engine and removes
// their data.
func newRequestPath(ctx context.Context) (*requestPath, func(), error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var wg sync.WaitGroup
	closers := []func(){func() { cancel(nil) }, wg.Wait}
	cleanup := func() {
		for _, c := range closers {
			c()
		}
	}
	dir, err := os.MkdirTemp("", "fireflysaddle-slopes-")
	if err != nil {
		return nil, cleanup, err
	}
	closers = append(closers, func() { _ = os.RemoveAll(dir) })
	engine, closeEngine, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: "mastori-1", Model: model, Version: "1", LayerTo: 4, LayerCount: 4,
		Slots: concurrentCallers, CacheLimit: 1024, Incarnation: 1, Journal: &saddlestandin.Journal{},
	})
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	closers = append(closers, closeEngine)
	var addresses [7]string
	for i := range addresses {
		if addresses[i], err = saddlestandin.FreeAddress(); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	control, entry, agent := requestPathSettings(dir, addresses)
	start := func(node string, run func() error) {
		wg.Go(func() {
			if err := run(); err != nil {
				cancel(fmt.Errorf("%s: %w", node, err))
			}
		})
	}
	start(control.Node, func() error { return saddledaemon.RunControl(ctx, control, io.Discard) })
	start(entry.Node, func() error { return saddledaemon.RunEntry(ctx, entry, io.Discard) })
	start(agent.Node, func() error { return saddledaemon.RunAgent(ctx, agent, io.Discard) })
	wg.Go(func() { saddlestandin.Announce(ctx, agent.Announce, engine.Announcement(), announceInterval) })
	p := &requestPath{entryAddress: entry.Listen}
	if err := p.configure(ctx, control.Listen); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause // the error of a daemon that failed
		}
		cleanup()
		return nil, nil, err
	}
	return p, cleanup, nil
}

func requestPathSettings(dir string, addresses [7]string) (saddlesettings.Control, saddlesettings.Entry, saddlesettings.Agent) {
	control, entry, agent := saddlesettings.DefaultControl(), saddlesettings.DefaultEntry(), saddlesettings.DefaultAgent()
	control.Node, entry.Node, agent.Node = "control-1", "entry-1", "agent-1"
	control.Admin, entry.Admin, agent.Admin = addresses[0], addresses[1], addresses[2]
	control.Listen, entry.Listen, agent.Listen = addresses[3], addresses[4], addresses[5]
	control.DataDir = filepath.Join(dir, "data")
	control.Replicas = []saddlesettings.Replica{{Node: control.Node, Address: control.Listen}}
	entry.Attend.Controls = []string{control.Listen}
	agent.Attend.Controls = []string{control.Listen}
	agent.Announce = addresses[6]
	entry.LameDuck = 0
	agent.LameDuck = 0
	return control, entry, agent
}

// configure submits a template and a deployment and waits until a request is
// answered.
func (p *requestPath) configure(ctx context.Context, controlAddress string) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	client, cleanup := saddleclient.New([]string{controlAddress}, nil)
	defer func() { _ = cleanup() }()
	hash := sha256.Sum256([]byte(apiKey))
	body := fmt.Sprintf(requestTemplateFormat, hex.EncodeToString(hash[:]), model)
	for _, command := range []*saddlewire.Command{
		{Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{Name: "path", Body: body}}},
		{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{Workspace: "volos", Template: "path"}}},
	} {
		command.Request = uuid.NewString()
		result, err := client.Submit(ctx, command)
		if err == nil && !result.GetAccepted() {
			err = fmt.Errorf("command refused: %s", result.GetMessage())
		}
		if err != nil {
			return err
		}
	}
	return waitFor(ctx, func() error { return p.sendDraft(ctx, 1) })
}

// sendDrafts sends a number of drafts with the given number of tokens each,
// concurrentCallers at a time. If drafts fail, it returns the error of one of them.
func (p *requestPath) sendDrafts(ctx context.Context, drafts, tokens int) error {
	work := make(chan struct{})
	errs := make(chan error, concurrentCallers)
	for range concurrentCallers {
		go func() {
			var firstErr error
			for range work {
				if err := p.sendDraft(ctx, tokens); err != nil && firstErr == nil {
					firstErr = err
				}
			}
			errs <- firstErr
		}()
	}
	for range drafts {
		work <- struct{}{}
	}
	close(work)
	var firstErr error
	for range concurrentCallers {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (p *requestPath) sendDraft(ctx context.Context, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"prompt":"the wall leans","max_tokens":%d,"stream":true}`, model, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.entryAddress+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && !strings.Contains(string(text), "[DONE]") {
		err = fmt.Errorf("status %d: answer has no [DONE] event", resp.StatusCode)
	}
	return err
}
