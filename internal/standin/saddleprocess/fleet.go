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

const announceInterval = 100 * time.Millisecond

// Fleet is a group of control replicas and the entries and agents that connect
// to them.
type Fleet struct {
	Dir      string // folder of the settings files and the data folders
	Controls []*Process
	replicas []replica
	tls      *tlsFiles // shared by all processes; nil: no TLS
}

// tlsFiles holds the paths of a certificate, its key and the certificate of the
// authority that signed it.
type tlsFiles struct {
	cert, key, authority string
}

// settings returns the TLS settings as TOML.
func (c *tlsFiles) settings() string {
	if c == nil {
		return ""
	}
	return fmt.Sprintf("tls.cert = %q\ntls.key = %q\ntls.authority = %q\n", c.cert, c.key, c.authority)
}

// replica is a control replica.
type replica struct {
	node    string
	listen  string // address on which the replica listens
	address string // address to which other processes connect: the relay's if the replica has one, else listen
}

// New starts n control replicas without TLS.
func New(t testing.TB, n int) *Fleet {
	t.Helper()
	return newFleet(t, n, nil)
}

// NewWithTLS starts n control replicas. All processes of the fleet use mutual
// TLS with a certificate that the authority signed.
func NewWithTLS(t testing.TB, n int, authority *saddlecert.Authority) *Fleet {
	t.Helper()
	cert, key := authority.Issue(t, "fleet-process")
	return newFleet(t, n, &tlsFiles{cert: cert, key: key, authority: authority.CertFile})
}

func newFleet(t testing.TB, n int, tls *tlsFiles) *Fleet {
	t.Helper()
	f := &Fleet{Dir: t.TempDir(), tls: tls}
	for i := range n {
		a := freeAddress(t)
		f.replicas = append(f.replicas, replica{node: fmt.Sprintf("control-%d", i+1), listen: a, address: a})
	}
	f.startControls(t)
	return f
}

// NewWithRelays starts n control replicas, each behind a relay.
func NewWithRelays(t testing.TB, n int) (*Fleet, []*saddlerelay.Relay) {
	t.Helper()
	f := &Fleet{Dir: t.TempDir()}
	var relays []*saddlerelay.Relay
	for i := range n {
		r := replica{node: fmt.Sprintf("control-%d", i+1), listen: freeAddress(t), address: freeAddress(t)}
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
	admin := freeAddress(t)
	var replicas strings.Builder
	for _, r := range f.replicas {
		fmt.Fprintf(&replicas, "[[replicas]]\nnode = %q\naddress = %q\n", r.node, r.address)
	}
	return Start(t, f.Dir, "control", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\ndata = %q\n%s",
		node, listen, admin, f.DataDir(node), f.tls.settings()+replicas.String()))
}

// Entry is the process of an entry.
type Entry struct {
	*Process
	Listen string // address for callers
}

// StartEntry starts an entry. extraSettings are top-level settings as TOML; they
// are inserted before the first table.
func (f *Fleet) StartEntry(t testing.TB, node, extraSettings string) *Entry {
	t.Helper()
	admin, listen := freeAddress(t), freeAddress(t)
	p := Start(t, f.Dir, "entry", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, admin, f.tls.settings()+extraSettings, quoteList(f.ControlAddresses())))
	return &Entry{Process: p, Listen: listen}
}

// Agent is the process of an agent.
type Agent struct {
	*Process
	Listen   string // drpc address for entries and other agents
	Announce string // address for announcements of targets
}

// StartAgentWithRelay starts an agent behind a relay. The agent advertises the
// address of the relay. The relay is closed when the test ends.
func (f *Fleet) StartAgentWithRelay(t testing.TB, node string) (*Agent, *saddlerelay.Relay) {
	t.Helper()
	advertise, listen := freeAddress(t), freeAddress(t)
	relay, cleanup, err := saddlerelay.New(advertise, listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return f.startAgentOn(t, node, listen, fmt.Sprintf("advertise = %q", advertise)), relay
}

// StartAgent starts an agent. extraSettings are top-level settings as TOML; they
// are inserted before the first table.
func (f *Fleet) StartAgent(t testing.TB, node, extraSettings string) *Agent {
	t.Helper()
	return f.startAgentOn(t, node, freeAddress(t), extraSettings)
}

func (f *Fleet) startAgentOn(t testing.TB, node, listen, extraSettings string) *Agent {
	t.Helper()
	admin, announce := freeAddress(t), freeAddress(t)
	p := Start(t, f.Dir, "agent", node, admin, fmt.Sprintf(
		"node = %q\ncentre = \"centre-1\"\nlisten = %q\nannounce = %q\nadmin = %q\n%s\n[attend]\ncontrols = [%s]\n",
		node, listen, announce, admin, f.tls.settings()+extraSettings, quoteList(f.ControlAddresses())))
	return &Agent{Process: p, Listen: listen, Announce: announce}
}

// AnnounceTarget sends the announcement of a target to the agent periodically
// until the test ends.
func (a *Agent) AnnounceTarget(t testing.TB, target saddleannounce.Announcement) {
	t.Helper()
	a.AnnounceFunc(t, func() saddleannounce.Announcement { return target })
}

// AnnounceFunc calls describe periodically and sends its announcement to the
// agent until the test ends.
func (a *Agent) AnnounceFunc(t testing.TB, describe func() saddleannounce.Announcement) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		saddlestandin.AnnounceFunc(ctx, a.Announce, describe, announceInterval)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Client returns a client of the control replicas, which is closed when the test
// ends.
func (f *Fleet) Client(t testing.TB) *saddleclient.Client {
	t.Helper()
	client, cleanup := saddleclient.New(f.ControlAddresses(), nil)
	t.Cleanup(func() { _ = cleanup() })
	return client
}

// RunSaddlectl runs saddlectl against the fleet and returns its standard output
// and standard error. It fails the test unless the exit code is 0.
func (f *Fleet) RunSaddlectl(t testing.TB, args ...string) string {
	t.Helper()
	args = append(args, "-controls", strings.Join(f.ControlAddresses(), ","))
	if f.tls != nil {
		args = append(args, "-tls-cert", f.tls.cert, "-tls-key", f.tls.key, "-tls-authority", f.tls.authority)
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

func quoteList(values []string) string {
	out := make([]string, 0, len(values))
	for _, v := range values {
		out = append(out, fmt.Sprintf("%q", v))
	}
	return strings.Join(out, ", ")
}

func freeAddress(t testing.TB) string {
	t.Helper()
	a, err := saddlestandin.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return a
}
