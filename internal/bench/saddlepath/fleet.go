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
	model     = "mastori"
	key       = "path-key"
	slots     = 256
	layers    = 1
	startTime = 20 * time.Second
	poll      = 20 * time.Millisecond
	announce  = 500 * time.Millisecond
	lameDuck  = 10 * time.Millisecond
	template  = `name = "path"

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

// Fleet is one control replica, one entry and one agent before one engine.
type Fleet struct {
	entry   string // callers' address
	control string
	client  *http.Client
	engine  *saddleengine.Engine

	ctx     context.Context
	wg      sync.WaitGroup
	closing []func()
	mu      sync.Mutex
	err     error
}

// New starts a fleet whose engine takes tokenTime for a token. The clean-up
// stops it and removes its data.
func New(ctx context.Context, tokenTime time.Duration) (*Fleet, func(), error) {
	ctx, stop := context.WithCancel(ctx)
	f := &Fleet{ctx: ctx, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}}}
	cleanup := func() {
		stop()
		f.wg.Wait()
		for _, c := range f.closing {
			c()
		}
	}
	for _, step := range []func() error{
		f.startControl,
		f.startEntry,
		func() error { return f.startEngine(tokenTime) },
		f.configure,
		f.await,
	} {
		if err := step(); err != nil {
			cleanup()
			return nil, nil, err
		}
	}
	return f, cleanup, nil
}

// daemon runs a role in a goroutine.
func (f *Fleet) daemon(run func(ctx context.Context, logs io.Writer) error) {
	f.wg.Go(func() {
		if err := run(f.ctx, io.Discard); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.err = err
		}
	})
}

func (f *Fleet) failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// common fills in what every role has, and listen addresses.
func common(s *saddlesettings.Common, listens ...*string) error {
	for _, a := range append(listens, &s.Admin) {
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
	f.closing = append(f.closing, func() { _ = os.RemoveAll(dir) })
	s := saddlesettings.DefaultControl()
	s.Node = "control-1"
	s.Centre = "centre-1"
	s.DataDir = filepath.Join(dir, s.Node)
	if err := common(&s.Common, &s.Listen); err != nil {
		return err
	}
	s.Replicas = []saddlesettings.Replica{{Node: s.Node, Address: s.Listen}}
	f.control = s.Listen
	f.daemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunControl(ctx, s, logs) })
	return nil
}

func (f *Fleet) startEntry() error {
	s := saddlesettings.DefaultEntry()
	s.Node = "entry-1"
	s.Centre = "centre-1"
	s.Attend.Controls = []string{f.control}
	if err := common(&s.Common, &s.Listen); err != nil {
		return err
	}
	f.entry = s.Listen
	f.daemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunEntry(ctx, s, logs) })
	return nil
}

func (f *Fleet) startEngine(tokenTime time.Duration) error {
	e, closeEngine, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: "mastori-1", Model: model, Version: "1",
		LayerTo: layers, LayerCount: layers, Slots: slots, TokenTime: tokenTime, CacheLimit: 4096, Incarnation: 1,
	})
	if err != nil {
		return err
	}
	f.closing = append(f.closing, closeEngine)
	s := saddlesettings.DefaultAgent()
	s.Node = "agent-1"
	s.Centre = "centre-1"
	s.Attend.Controls = []string{f.control}
	if err := common(&s.Common, &s.Listen, &s.Announce); err != nil {
		return err
	}
	f.daemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunAgent(ctx, s, logs) })
	f.wg.Go(func() { saddlestandin.Announce(f.ctx, s.Announce, e.Announcement(), announce) })
	engine, closeClient := saddleengine.New(fireflysaddle.TargetID("mastori-1"), e.Address())
	f.engine = engine
	f.closing = append(f.closing, closeClient)
	return nil
}

// configure submits the template and the deployment.
func (f *Fleet) configure() error {
	ctx, cancel := context.WithTimeout(f.ctx, startTime)
	defer cancel()
	client, closeClient := saddleclient.New([]string{f.control}, nil)
	defer func() { _ = closeClient() }()
	hash := sha256.Sum256([]byte(key))
	for _, c := range []*saddlewire.Command{
		{Change: &saddlewire.Command_PutTemplate{PutTemplate: &saddlewire.PutTemplate{Name: "path", Body: template}}},
		{Change: &saddlewire.Command_PutDeployment{PutDeployment: &saddlewire.PutDeployment{
			Workspace:  "volos",
			Template:   "path",
			Parameters: map[string]string{"key": hex.EncodeToString(hash[:])},
		}}},
	} {
		c.Request = uuid.NewString()
		result, err := client.Submit(ctx, c)
		if err == nil && !result.GetAccepted() {
			err = fmt.Errorf("refused: %s", result.GetMessage())
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// await waits until a draft goes through.
func (f *Fleet) await() error {
	ctx, cancel := context.WithTimeout(f.ctx, startTime)
	defer cancel()
	for {
		_, err := f.Through(ctx, "the wall leans", 1)
		if err == nil || f.failure() != nil {
			return f.failure()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no draft went through: %w", err)
		case <-time.After(poll):
		}
	}
}
