package saddlectl_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/config/saddlesettings"
	"github.com/fireflysaddle/fireflysaddle/internal/daemon/saddledaemon"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

// awaitTimeout bounds each wait; no assertion depends on its value.
const awaitTimeout = 30 * time.Second

// lockedBuffer collects the logs of all daemons. It is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// inProcessFleet is a small fleet that runs in the test process: three control
// replicas, an entry, an agent of an engine and an agent of a service.
type inProcessFleet struct {
	logs          lockedBuffer
	controls      string            // addresses, comma-separated
	entry         string            // address of its HTTP listener
	stopByProcess map[string]func() // functions that stop a process and wait until it has ended, by process name
	replicas      []saddlesettings.Replica
	dir           string   // parent of the data directories
	admins        []string // addresses of the admin listeners
}

func newInProcessFleet(t *testing.T) *inProcessFleet {
	t.Helper()
	d := &inProcessFleet{stopByProcess: map[string]func(){}}
	var addresses []string
	for i := range 3 {
		d.replicas = append(d.replicas, saddlesettings.Replica{Node: fmt.Sprintf("control-%d", i+1), Address: freeAddress(t)})
		addresses = append(addresses, d.replicas[i].Address)
	}
	d.controls = strings.Join(addresses, ",")
	d.dir = t.TempDir()
	for _, r := range d.replicas {
		d.startControl(t, r, false)
	}
	e := saddlesettings.DefaultEntry()
	d.setCommon(t, &e.Common, "entry-1")
	e.Listen = freeAddress(t)
	e.Attend.Controls = addresses
	d.entry = e.Listen
	d.start(t, "entry-1", func(ctx context.Context) error { return saddledaemon.RunEntry(ctx, e, &d.logs) })
	d.startTargets(t, addresses)
	return d
}

// startControl starts a control replica and returns the address of its admin listener.
func (d *inProcessFleet) startControl(t *testing.T, r saddlesettings.Replica, join bool) (admin string) {
	t.Helper()
	s := saddlesettings.DefaultControl()
	d.setCommon(t, &s.Common, r.Node)
	s.Listen = r.Address
	s.Replicas = d.replicas
	s.Join = join
	s.DataDir = filepath.Join(d.dir, r.Node)
	d.start(t, r.Node, func(ctx context.Context) error { return saddledaemon.RunControl(ctx, s, &d.logs) })
	return s.Admin
}

// startTargets starts an engine and a service, each with its agent.
func (d *inProcessFleet) startTargets(t *testing.T, controls []string) {
	t.Helper()
	engine, cleanEngine, err := saddlestandin.NewEngine(saddlestandin.EngineConfig{
		Address: "127.0.0.1:0", ID: "mastori-1", Model: "mastori", Version: "1", LayerTo: 4, LayerCount: 4,
		Slots: 2, CacheLimit: 1024, Incarnation: 1, Journal: &saddlestandin.Journal{},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanEngine)
	service, cleanService, err := saddlestandin.NewService(saddlestandin.ServiceConfig{
		Address: "127.0.0.1:0", ID: "desk-1", Group: "grammateia", Version: "1", Slots: 2, Incarnation: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanService)
	for _, target := range []interface {
		Announcement() saddleannounce.Announcement
	}{engine, service} {
		a := target.Announcement()
		s := saddlesettings.DefaultAgent()
		d.setCommon(t, &s.Common, "agent-"+a.ID)
		s.Listen = freeAddress(t)
		s.Announce = freeAddress(t)
		s.Attend.Controls = controls
		d.start(t, s.Node, func(ctx context.Context) error { return saddledaemon.RunAgent(ctx, s, &d.logs) })
		d.start(t, "target-"+a.ID, func(ctx context.Context) error {
			saddlestandin.Announce(ctx, s.Announce, a, 50*time.Millisecond)
			return nil
		})
	}
}

func (d *inProcessFleet) setCommon(t *testing.T, s *saddlesettings.Common, node string) {
	t.Helper()
	s.Node = node
	s.Centre = "centre-1"
	s.Admin = freeAddress(t)
	s.Log.Level = "debug"
	s.LameDuck = saddlesettings.Duration(time.Millisecond)
	d.admins = append(d.admins, s.Admin)
}

func (d *inProcessFleet) start(t *testing.T, name string, run func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := run(ctx); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}()
	d.stopByProcess[name] = func() {
		cancel()
		<-done
	}
	t.Cleanup(d.stopByProcess[name])
}

// apply submits a fleet with the workspace "volos", whose callers authenticate with key.
func (d *inProcessFleet) apply(t *testing.T, key string) commandResult {
	t.Helper()
	hash := sha256.Sum256([]byte(key))
	dir := writeFiles(t, map[string]string{
		"meet.toml":  strings.Replace(template, "[deployment]\n", "[deployment]\nkeys = [\""+hex.EncodeToString(hash[:])+"\"]\nservices = [{ name = \"grammateia\" }]\n", 1),
		"fleet.toml": "templates = [\"meet.toml\"]\n[[deployments]]\nworkspace = \"volos\"\ntemplate = \"meet\"\n",
	})
	return run(t, "apply", filepath.Join(dir, "fleet.toml"), "-wait", "-controls", d.controls)
}

// postUntilAvailable repeats a request until its status is not 503, and returns the
// status and the body.
func (d *inProcessFleet) postUntilAvailable(t *testing.T, path, key, body string) string {
	t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for {
		req, err := http.NewRequest(http.MethodPost, "http://"+d.entry+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("Idempotency-Key", "idem-"+key)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			text, readErr := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if readErr == nil && resp.StatusCode != http.StatusServiceUnavailable {
				return fmt.Sprintf("%d %s", resp.StatusCode, text)
			}
			err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	a, err := saddlestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
