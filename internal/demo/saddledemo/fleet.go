package saddledemo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const (
	controlCount      = 3
	entryCount        = 2
	layerCount        = 12
	announceInterval  = 200 * time.Millisecond
	chainModel        = "mastori"
	singleEngineModel = "mastori-small"
	serviceGroup      = "grammateia"
	lameDuckTime      = 100 * time.Millisecond
	adminKey          = "demo-admin-key"
)

// fleet is the running system.
type fleet struct {
	ctx      context.Context
	stop     func()
	wg       sync.WaitGroup
	logs     io.Writer
	dir      string
	replicas []saddlesettings.Replica

	entries  []string // addresses for callers
	client   *saddleclient.Client
	cleanups []func()

	journal  *saddlestandin.Journal
	engines  map[string]*saddlestandin.Engine
	services []*saddlestandin.Service

	mu         sync.Mutex
	daemonErrs []error // errors of the daemons that have failed
}

// newFleet starts the system. The returned function stops it and removes its
// data.
func newFleet(ctx context.Context, logs io.Writer) (*fleet, func(), error) {
	ctx, stop := context.WithCancel(ctx)
	dir, err := os.MkdirTemp("", "fireflysaddle-demo-")
	if err != nil {
		stop()
		return nil, nil, err
	}
	f := &fleet{
		ctx:     ctx,
		stop:    stop,
		logs:    logs,
		dir:     dir,
		journal: &saddlestandin.Journal{},
		engines: map[string]*saddlestandin.Engine{},
	}
	for _, start := range []func() error{f.writeAdminKeys, f.startControls, f.startEntries, f.startEngines, f.startServices} {
		if err := start(); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func (f *fleet) close() {
	f.stop()
	f.wg.Wait()
	for _, c := range f.cleanups {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

// runDaemon runs a daemon in a goroutine and records its error.
func (f *fleet) runDaemon(run func(ctx context.Context, logs io.Writer) error) {
	f.wg.Go(func() {
		if err := run(f.ctx, f.logs); err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.daemonErrs = append(f.daemonErrs, err)
		}
	})
}

// failures returns the errors of the daemons that have failed.
func (f *fleet) failures() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]error(nil), f.daemonErrs...)
}

func freeAddresses(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		a, err := saddlestandin.FreeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func (f *fleet) startControls() error {
	addresses, err := freeAddresses(controlCount)
	if err != nil {
		return err
	}
	for i, a := range addresses {
		f.replicas = append(f.replicas, saddlesettings.Replica{Node: fmt.Sprintf("control-%d", i+1), Address: a})
	}
	for i, r := range f.replicas {
		s := saddlesettings.DefaultControl()
		s.Node = r.Node
		s.Centre = fmt.Sprintf("centre-%d", i+1)
		s.Listen = r.Address
		s.Replicas = f.replicas
		s.DataDir = filepath.Join(f.dir, r.Node)
		if err := f.setCommon(&s.Common); err != nil {
			return err
		}
		f.runDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunControl(ctx, s, logs) })
	}
	client, cleanup := saddleclient.New(f.controlAddresses(), nil)
	f.client = client
	f.cleanups = append(f.cleanups, func() { _ = cleanup() })
	return nil
}

func (f *fleet) controlAddresses() []string {
	out := make([]string, 0, len(f.replicas))
	for _, r := range f.replicas {
		out = append(out, r.Address)
	}
	return out
}

// setCommon sets the settings that all roles share.
func (f *fleet) setCommon(s *saddlesettings.Common) error {
	admin, err := saddlestandin.FreeAddress()
	s.Admin = admin
	s.LameDuck = saddlesettings.Duration(lameDuckTime)
	s.Log.Level = "warn"
	s.AdminKeys = filepath.Join(f.dir, "admin-keys")
	return err
}

// writeAdminKeys writes the hash of adminKey to the key file of the admin
// listeners.
func (f *fleet) writeAdminKeys() error {
	hash := sha256.Sum256([]byte(adminKey))
	return os.WriteFile(filepath.Join(f.dir, "admin-keys"), []byte(hex.EncodeToString(hash[:])), 0o600)
}

func (f *fleet) startEntries() error {
	addresses, err := freeAddresses(entryCount)
	if err != nil {
		return err
	}
	f.entries = addresses
	for i, a := range addresses {
		s := saddlesettings.DefaultEntry()
		s.Node = fmt.Sprintf("entry-%d", i+1)
		s.Centre = fmt.Sprintf("centre-%d", i+1)
		s.Listen = a
		s.Attend.Controls = f.controlAddresses()
		if err := f.setCommon(&s.Common); err != nil {
			return err
		}
		f.runDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunEntry(ctx, s, logs) })
	}
	return nil
}

// startAgent runs an agent for a target and sends the target's announcements to
// it.
func (f *fleet) startAgent(describe func() saddleannounce.Announcement) error {
	addresses, err := freeAddresses(2)
	if err != nil {
		return err
	}
	s := saddlesettings.DefaultAgent()
	s.Node = "agent-" + describe().ID
	s.Centre = "centre-1"
	s.Listen = addresses[0]
	s.Announce = addresses[1]
	s.Attend.Controls = f.controlAddresses()
	if err := f.setCommon(&s.Common); err != nil {
		return err
	}
	f.runDaemon(func(ctx context.Context, logs io.Writer) error { return saddledaemon.RunAgent(ctx, s, logs) })
	f.wg.Go(func() { saddlestandin.AnnounceFunc(f.ctx, s.Announce, describe, announceInterval) })
	return nil
}

// startEngines starts one engine with all layers of singleEngineModel, and two
// engines for each of the three stages of chainModel.
func (f *fleet) startEngines() error {
	if err := f.startEngine("small-1", singleEngineModel, 0, layerCount); err != nil {
		return err
	}
	for stage := range uint32(3) {
		for _, idSuffix := range []string{"a", "b"} {
			id := fmt.Sprintf("stage-%d%s", stage+1, idSuffix)
			from := stage * layerCount / 3
			if err := f.startEngine(id, chainModel, from, from+layerCount/3); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) startEngine(id, model string, from, to uint32) error {
	e, cleanup, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address:      "127.0.0.1:0",
		ID:           id,
		Model:        model,
		Version:      "1",
		LayerFrom:    from,
		LayerTo:      to,
		LayerCount:   layerCount,
		Slots:        4,
		TokenTime:    5 * time.Millisecond,
		PrefillTime:  100 * time.Microsecond,
		CacheLimit:   4096,
		ChecksFences: true,
		Incarnation:  1,
		Journal:      f.journal,
	})
	if err != nil {
		return err
	}
	f.cleanups = append(f.cleanups, cleanup)
	f.engines[id] = e
	return f.startAgent(e.Announcement)
}

func (f *fleet) startServices() error {
	for i := range 2 {
		s, cleanup, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
			Address:     "127.0.0.1:0",
			ID:          fmt.Sprintf("desk-%d", i+1),
			Group:       serviceGroup,
			Version:     "1",
			Slots:       4,
			Incarnation: 1,
		})
		if err != nil {
			return err
		}
		f.cleanups = append(f.cleanups, cleanup)
		f.services = append(f.services, s)
		if err := f.startAgent(s.Announcement); err != nil {
			return err
		}
	}
	return nil
}
