package saddleprocess

import (
	"bytes"
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleclient"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const announceEvery = 100 * time.Millisecond

// Fleet is a set of processes that belong together.
type Fleet struct {
	Dir      string
	Controls []*Process
	replicas []string // "node address"
}

// New starts n control replicas.
func New(t testing.TB, n int) *Fleet {
	t.Helper()
	f := &Fleet{Dir: t.TempDir()}
	for i := range n {
		f.replicas = append(f.replicas, fmt.Sprintf("control-%d %s", i+1, address(t)))
	}
	for _, r := range f.replicas {
		node, listen, _ := strings.Cut(r, " ")
		f.Controls = append(f.Controls, f.startControl(t, node, listen))
	}
	return f
}

// ControlAddresses returns the drpc addresses of the control replicas.
func (f *Fleet) ControlAddresses() []string {
	out := make([]string, 0, len(f.replicas))
	for _, r := range f.replicas {
		_, listen, _ := strings.Cut(r, " ")
		out = append(out, listen)
	}
	return out
}

// DataFolder returns the data folder of a control replica.
func (f *Fleet) DataFolder(node string) string {
	return filepath.Join(f.Dir, "data-"+node)
}

func (f *Fleet) startControl(t testing.TB, node, listen string) *Process {
	t.Helper()
	admin := address(t)
	var replicas strings.Builder
	for _, r := range f.replicas {
		n, a, _ := strings.Cut(r, " ")
		fmt.Fprintf(&replicas, "[[replicas]]\nnode = %q\naddress = %q\n", n, a)
	}
	return start(t, f.Dir, "control", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\ndata = %q\n%s",
		node, listen, admin, f.DataFolder(node), replicas.String()))
}

// Entry is an entry's process.
type Entry struct {
	*Process
	Listen string
}

// StartEntry starts an entry. extra is added to its settings, before any table.
func (f *Fleet) StartEntry(t testing.TB, node, extra string) *Entry {
	t.Helper()
	admin, listen := address(t), address(t)
	p := start(t, f.Dir, "entry", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, admin, extra, quoted(f.ControlAddresses())))
	return &Entry{Process: p, Listen: listen}
}

// Agent is an agent's process.
type Agent struct {
	*Process
	Listen   string
	Announce string
}

// StartAgent starts an agent. extra is added to its settings, before any table.
func (f *Fleet) StartAgent(t testing.TB, node, extra string) *Agent {
	t.Helper()
	admin, listen, announce := address(t), address(t), address(t)
	p := start(t, f.Dir, "agent", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nannounce = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, announce, admin, extra, quoted(f.ControlAddresses())))
	return &Agent{Process: p, Listen: listen, Announce: announce}
}

// AnnounceTarget lets a target announce itself to an agent until the test ends.
func (a *Agent) AnnounceTarget(t testing.TB, target saddleannounce.Announcement) {
	t.Helper()
	a.AnnounceChanging(t, func() saddleannounce.Announcement { return target })
}

// AnnounceChanging is AnnounceTarget for a target that may change.
func (a *Agent) AnnounceChanging(t testing.TB, describe func() saddleannounce.Announcement) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		saddlestandin.AnnounceChanging(ctx, a.Announce, describe, announceEvery)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Client returns a client of the control replicas.
func (f *Fleet) Client(t testing.TB) *saddleclient.Client {
	t.Helper()
	client, cleanup := saddleclient.New(f.ControlAddresses(), nil)
	t.Cleanup(func() { _ = cleanup() })
	return client
}

// Ctl runs saddlectl and returns its output and error output, failing the test
// unless it ends with exit code 0.
func (f *Fleet) Ctl(t testing.TB, args ...string) string {
	t.Helper()
	cmd := exec.Command(Program(t, "saddlectl"), append(args, "-controls", strings.Join(f.ControlAddresses(), ","))...)
	var out bytes.Buffer
	cmd.Stdout = &out
	cmd.Stderr = &out
	if err := cmd.Run(); err != nil {
		t.Fatalf("saddlectl %s: %v\n%s", strings.Join(args, " "), err, out.String())
	}
	return out.String()
}

func quoted(values []string) string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, fmt.Sprintf("%q", v))
	}
	return strings.Join(out, ", ")
}

func address(t testing.TB) string {
	t.Helper()
	a, err := saddlestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
