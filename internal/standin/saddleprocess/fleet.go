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
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlecert"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlerelay"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
	"github.com/fireflysaddle/fireflysaddle/internal/target/saddleannounce"
)

const announceEvery = 100 * time.Millisecond

// Fleet is a set of processes that belong together.
type Fleet struct {
	Dir      string
	Controls []*Process
	replicas []replica
	cert     *certificate // of all processes, nil: none
}

// certificate names the files by which processes prove themselves.
type certificate struct {
	cert, key, authority string
}

// settings returns the certificate's part of a settings file.
func (c *certificate) settings() string {
	if c == nil {
		return ""
	}
	return fmt.Sprintf("tls.cert = %q\ntls.key = %q\ntls.authority = %q\n", c.cert, c.key, c.authority)
}

// replica is a control replica; others reach it at an address that may be a
// relay's.
type replica struct {
	node    string
	listen  string
	address string
}

// New starts n control replicas.
func New(t testing.TB, n int) *Fleet {
	t.Helper()
	return newFleet(t, n, nil)
}

// NewWithTLS is New for a fleet whose processes prove themselves by a
// certificate of the authority.
func NewWithTLS(t testing.TB, n int, authority *saddlecert.Authority) *Fleet {
	t.Helper()
	cert, key := authority.Issue(t, "fleet-process")
	return newFleet(t, n, &certificate{cert: cert, key: key, authority: authority.CertFile})
}

func newFleet(t testing.TB, n int, cert *certificate) *Fleet {
	t.Helper()
	f := &Fleet{Dir: t.TempDir(), cert: cert}
	for i := range n {
		a := address(t)
		f.replicas = append(f.replicas, replica{node: fmt.Sprintf("control-%d", i+1), listen: a, address: a})
	}
	f.startControls(t)
	return f
}

// NewWithRelays starts n control replicas, each of which is reached through a relay.
func NewWithRelays(t testing.TB, n int) (*Fleet, []*saddlerelay.Relay) {
	t.Helper()
	f := &Fleet{Dir: t.TempDir()}
	var relays []*saddlerelay.Relay
	for i := range n {
		r := replica{node: fmt.Sprintf("control-%d", i+1), listen: address(t), address: address(t)}
		relay, cleanup, err := saddlerelay.New(r.address, r.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cleanup)
		relays = append(relays, relay)
		f.replicas = append(f.replicas, r)
	}
	f.startControls(t)
	return f, relays
}

func (f *Fleet) startControls(t testing.TB) {
	t.Helper()
	for _, r := range f.replicas {
		f.Controls = append(f.Controls, f.startControl(t, r.node, r.listen))
	}
}

// ControlAddresses returns the drpc addresses of the control replicas.
func (f *Fleet) ControlAddresses() []string {
	out := make([]string, 0, len(f.replicas))
	for _, r := range f.replicas {
		out = append(out, r.address)
	}
	return out
}

// DataDir returns the data folder of a control replica.
func (f *Fleet) DataDir(node string) string {
	return filepath.Join(f.Dir, "data-"+node)
}

func (f *Fleet) startControl(t testing.TB, node, listen string) *Process {
	t.Helper()
	admin := address(t)
	var replicas strings.Builder
	for _, r := range f.replicas {
		fmt.Fprintf(&replicas, "[[replicas]]\nnode = %q\naddress = %q\n", r.node, r.address)
	}
	return Start(t, f.Dir, "control", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\ndata = %q\n%s",
		node, listen, admin, f.DataDir(node), f.cert.settings()+replicas.String()))
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
	p := Start(t, f.Dir, "entry", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, admin, f.cert.settings()+extra, quoted(f.ControlAddresses())))
	return &Entry{Process: p, Listen: listen}
}

// Agent is an agent's process.
type Agent struct {
	*Process
	Listen   string
	Announce string
}

// StartAgentWithRelay starts an agent that others reach through a relay. The clean-up
// of the relay is the test's.
func (f *Fleet) StartAgentWithRelay(t testing.TB, node string) (*Agent, *saddlerelay.Relay) {
	t.Helper()
	advertise, listen := address(t), address(t)
	relay, cleanup, err := saddlerelay.New(advertise, listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return f.startAgentAt(t, node, listen, fmt.Sprintf("advertise = %q", advertise)), relay
}

// StartAgent starts an agent. extra is added to its settings, before any table.
func (f *Fleet) StartAgent(t testing.TB, node, extra string) *Agent {
	t.Helper()
	return f.startAgentAt(t, node, address(t), extra)
}

func (f *Fleet) startAgentAt(t testing.TB, node, listen, extra string) *Agent {
	t.Helper()
	admin, announce := address(t), address(t)
	p := Start(t, f.Dir, "agent", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nannounce = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, announce, admin, f.cert.settings()+extra, quoted(f.ControlAddresses())))
	return &Agent{Process: p, Listen: listen, Announce: announce}
}

// AnnounceTarget lets a target announce itself to an agent until the test ends.
func (a *Agent) AnnounceTarget(t testing.TB, target saddleannounce.Announcement) {
	t.Helper()
	a.AnnounceFunc(t, func() saddleannounce.Announcement { return target })
}

// AnnounceFunc is AnnounceTarget for a target that may change.
func (a *Agent) AnnounceFunc(t testing.TB, describe func() saddleannounce.Announcement) {
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

// RunSaddlectl runs saddlectl and returns its output and error output, failing the test
// unless it ends with exit code 0.
func (f *Fleet) RunSaddlectl(t testing.TB, args ...string) string {
	t.Helper()
	args = append(args, "-controls", strings.Join(f.ControlAddresses(), ","))
	if f.cert != nil {
		args = append(args, "-tls-cert", f.cert.cert, "-tls-key", f.cert.key, "-tls-authority", f.cert.authority)
	}
	cmd := exec.Command(Program(t, "saddlectl"), args...)
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
