package saddlepath

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fireflysaddle/fireflysaddle"
	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleengine"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const (
	model            = "mastori"
	apiKey           = "path-key"
	slots            = 256
	layers           = 1
	startTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	lameDuck         = 10 * time.Millisecond
	templateBody     = `name = "path"

[parameters.key]
type = "string"
required = true

[deployment]
keys = ["${key}"]
timeout = "60s"
models = [{ name = "` + model + `" }]
services = []
`
)

// Fleet is a control replica, an entry, an agent and its engine, all in this
// process.
type Fleet struct {
	entryAddress   string // address for callers
	controlAddress string
	client         *http.Client
	engine         *saddleengine.Engine

	ctx       context.Context
	wg        sync.WaitGroup
	closers   []func()
	mu        sync.Mutex
	daemonErr error // error of the latest daemon that failed
}

// New starts a fleet whose engine takes tokenTime per token, and waits until the
// entry answers a draft. The returned function stops the fleet and removes its data.
func New(ctx context.Context, tokenTime time.Duration) (*Fleet, func(), error) {
	ctx, stop := context.WithCancel(ctx)
	f := &Fleet{ctx: ctx, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}}
	cleanup := func() {
		stop()
		f.wg.Wait()
		for _, c := range f.closers {
			c()
		}
	}
	for _, step := range []func() error{
		f.startControl,
		f.startEntry,
		func() error { return f.startEngineAndAgent(tokenTime) },
		f.configure,
		f.awaitReady,
	} {
		if err := step(); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	return f, cleanup, nil
}

// startDaemon runs a daemon in a goroutine. daemonError returns the error if the
// daemon fails.
func (f *Fleet) startDaemon(run func(ctx context.Context, logs io.Writer) error) {
	f.wg.Go(func() {
		if err := run(f.ctx, io.Discard); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.daemonErr = err
		}
	})
}

func (f *Fleet) daemonError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemonErr
}

// applyCommonSettings sets the settings that all daemons have. It sets the address
// of the admin listener and each of listenAddresses to a free address.
func applyCommonSettings(s *saddlesettings.Common, listenAddresses ...*string) error {
	for _, a := range append(listenAddresses, &s.Admin) {
		address, err := saddlestandin.FreeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	s.LameDuck = saddlesettings.Duration(lameDuck)
	s.Log.Level = "error"
	return nil
}

func (f *Fleet) startControl() error {
	dir, err := os.MkdirTemp("", "saddlebench-path-")
	if err != nil {
		return err
	}
	f.closers = append(f.closers, func() { _ = os.RemoveAll(dir) })
	s := saddlesettings.DefaultControl()
	s.Node = "control-1"
	s.Centre = "centre-1"
	s.DataDir = filepath.Join(dir, s.Node)
	if err := applyCommonSettings(&s.Common, &s.Listen); err != nil {
		return err
	}
	s.Replicas = []saddlesettings.Replica{{Node: s.Node, Address: s.Listen}}
	f.controlAddress = s.Listen
	f.startDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunControl(ctx, s, logs) })
	return nil
}

func (f *Fleet) startEntry() error {
	s := saddlesettings.DefaultEntry()
	s.Node = "entry-1"
	s.Centre = "centre-1"
	s.Attend.Controls = []string{f.controlAddress}
	if err := applyCommonSettings(&s.Common, &s.Listen); err != nil {
		return err
	}
	f.entryAddress = s.Listen
	f.startDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunEntry(ctx, s, logs) })
	return nil
}

// startEngineAndAgent starts the engine, its agent and the announcements that the
// engine sends to the agent.
func (f *Fleet) startEngineAndAgent(tokenTime time.Duration) error {
	e, closeEngine, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: "mastori-1", Model: model, Version: "1",
		LayerTo: layers, LayerCount: layers, Slots: slots, TokenTime: tokenTime, CacheLimit: 4096, Incarnation: 1,
	})
	if err != nil {
		return err
	}
	f.closers = append(f.closers, closeEngine)
	s := saddlesettings.DefaultAgent()
	s.Node = "agent-1"
	s.Centre = "centre-1"
	s.Attend.Controls = []string{f.controlAddress}
	if err := applyCommonSettings(&s.Common, &s.Listen, &s.Announce); err != nil {
		return err
	}
	f.startDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunAgent(ctx, s, logs) })
	f.wg.Go(func() { saddlestandin.Announce(f.ctx, s.Announce, e.Announcement(), announceInterval) })
	engine, closeClient := saddleengine.New(fireflysaddle.TargetID("mastori-1"), e.Address())
	f.engine = engine
	f.closers = append(f.closers, closeClient)
	return nil
}

// configure submits the template and the deployment to control.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	client, closeClient := saddleclient.New([]string{f.controlAddress}, nil)
	defer func() { _ = closeClient() }()
	hash := sha256.Sum256([]byte(apiKey))
	for _, c := range []*saddlewire.Command{
		{Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{Name: "path", Body: templateBody}}},
		{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{
			Workspace:  "volos",
			Template:   "path",
			Parameters: map[string]string{"key": hex.EncodeToString(hash[:])},
		}}},
	} {
		c.Request = uuid.NewString()
		result, err := client.Submit(ctx, c)
		if err == nil && !result.GetAccepted() {
			err = fmt.Errorf("command refused: %s", result.GetMessage())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitReady sends drafts until the entry answers one, a daemon fails or
// startTimeout expires.
func (f *Fleet) awaitReady() error {
	ctx, cancel := context.WithTimeout(f.ctx, startTimeout)
	defer cancel()
	for {
		_, err := f.DraftViaEntry(ctx, "the wall leans", 1)
		if err == nil || f.daemonError() != nil {
			return f.daemonError()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no draft was answered: %w", err)
		case <-time.After(pollInterval):
		}
	}
}
