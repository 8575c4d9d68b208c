package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the small site, which the settings and the checks use.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	revokeTime      = 5 * time.Second
	drainTime       = 2 * time.Second
	graceTime       = 8 * time.Second
	catchUpTime     = 4 * time.Second
	heartbeatTime   = 1200 * time.Millisecond
)

// program is the result of the build in the deploy file.
const program = "target/fireflysaddle"

// vm is a machine with an entry and a control process.
type vm struct {
	name, zone, ip string
	entry, control *process
	diskless       bool // no control process
}

// process is a process of the system.
type process struct {
	name string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	dir     string
	rec     *record
	ports   ports
	vms     []*vm
	gone    []*vm // machines that were replaced
	subnet  string
	nextVM  int
	targets []*target
	http    *http.Client
}

// ports are the same on all machines.
type ports struct{ front, ready, control, peer, admin int }

var zones = []string{"joburg-a", "pretoria-b", "midrand-c"}

// newCluster starts a machine in each zone.
func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, rec: rec, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	c.subnet = fmt.Sprintf("127.%d.%d", 60+rand.IntN(60), rand.IntN(250))
	for _, zone := range zones {
		c.vms = append(c.vms, &vm{name: "front-" + zone + "-1", zone: zone, ip: c.nextIP()})
	}
	if c.ports, err = freePorts(c.vms); err != nil {
		return c, err
	}
	for _, v := range c.vms {
		if err := c.startVM(v, true); err != nil {
			return c, err
		}
	}
	return c, nil
}

// nextIP returns the address of a further machine.
func (c *cluster) nextIP() string {
	c.nextVM++
	return fmt.Sprintf("%s.%d", c.subnet, 10+c.nextVM)
}

// freePorts returns ports that no listener uses on any of the machines.
func freePorts(vms []*vm) (ports, error) {
	for range 50 {
		base := 20000 + 10*rand.IntN(1200)
		if portsAreFree(vms, base, 5) {
			return ports{front: base, ready: base + 1, control: base + 2, peer: base + 3, admin: base + 4}, nil
		}
	}
	return ports{}, errors.New("found no free ports")
}

func portsAreFree(vms []*vm, base, n int) bool {
	for _, v := range vms {
		for p := base; p < base+n; p++ {
			lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", v.ip, p))
			if err != nil {
				return false
			}
			_ = lis.Close()
		}
	}
	return true
}

func (c *cluster) address(v *vm, port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (c *cluster) controlAddresses() []string {
	var out []string
	for _, v := range c.vms {
		if !v.diskless {
			out = append(out, c.address(v, c.ports.control))
		}
	}
	return out
}

// writeSettings renders the templates of the deploy file for a machine.
func (c *cluster) writeSettings(v *vm, bootstrap bool) error {
	f := fields{
		"node": v.name, "zone": v.zone, "ip": v.ip, "seeds": c.controlAddresses(), "bootstrap": bootstrap,
		"port_range.0": c.ports.peer, "port_range.1": c.ports.admin, "data_dir": filepath.Join(c.dir, v.name),
		"listen.front": c.address(v, c.ports.front), "listen.ready_address": c.address(v, c.ports.ready),
		"listen.control": c.address(v, c.ports.control), "fault_tolerance.machines": 1,
		"bounds.grace_s": 8, "bounds.fail_closed": true, "bounds.revoke_ms": 5000, "bounds.retry_budget_ratio": 0.2, "bounds.budget_slack": 206,
	}
	for _, role := range []string{"gateway", "control"} {
		text, err := os.ReadFile(filepath.Join("deploy", role+".toml"))
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.settingsFile(v, role), []byte(render(string(text), f)), 0o600); err != nil {
			return err
		}
	}
	return os.MkdirAll(filepath.Join(c.dir, v.name), 0o700)
}

func (c *cluster) settingsFile(v *vm, role string) string {
	return filepath.Join(c.dir, v.name+"-"+role+".toml")
}

// startVM starts the processes of a machine. Later starts use settings without the flag
// that the first one has.
func (c *cluster) startVM(v *vm, bootstrap bool) error {
	if err := c.writeSettings(v, bootstrap); err != nil {
		return err
	}
	v.entry = &process{name: v.name + "/entry", args: []string{"gateway", "-settings", c.settingsFile(v, "gateway")}, log: filepath.Join(c.dir, v.name+"-entry.log")}
	v.control = &process{name: v.name + "/control", args: []string{"control", "-settings", c.settingsFile(v, "control")}, log: filepath.Join(c.dir, v.name+"-control.log")}
	var err error
	for _, p := range v.processes() {
		err = errors.Join(err, p.start())
	}
	return err
}

func (p *process) start() error {
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	p.cmd = exec.Command(program, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := p.done
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop ends everything that was started and removes the temporary folder.
func (c *cluster) stop() {
	for _, v := range append(append([]*vm(nil), c.vms...), c.gone...) {
		for _, p := range v.processes() {
			if p != nil && p.cmd != nil && p.cmd.Process != nil {
				p.signal(syscall.SIGCONT)
				p.kill()
			}
		}
	}
	for _, t := range c.targets {
		t.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// submit sends a configuration to one control process after another until one
// acknowledges or refuses it, and returns the time of the answer.
func (c *cluster) submit(version int, body []byte) (time.Time, error) {
	start := time.Now()
	for i := 0; time.Since(start) < 30*time.Second; i++ {
		controls := c.controlAddresses()
		address := controls[i%len(controls)]
		status, answer, err := c.call(http.MethodPut, "http://"+address+"/config", body)
		c.rec.addf("operator sends version %d to %s: %s", version, address, outcome(status, err))
		if err == nil && status < 500 && status != http.StatusTemporaryRedirect {
			if status != http.StatusOK {
				return time.Time{}, fmt.Errorf("version %d is refused with %d: %s", version, status, answer)
			}
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("version %d was not acknowledged within 30 s", version)
}

// call sends a call of the platform.
func (c *cluster) call(method, url string, body []byte) (status int, answer string, err error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(text)), err
}

// awaitReady waits until all entries report ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	start := time.Now()
	for time.Since(start) < limit {
		ready := 0
		for _, v := range c.vms {
			if c.ready(v) {
				ready++
			}
		}
		if ready == len(c.vms) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the entries did not become ready")
}

func (c *cluster) ready(v *vm) bool {
	status, _, err := c.call(http.MethodGet, "http://"+c.address(v, c.ports.ready)+"/ready", nil)
	return err == nil && status == http.StatusOK
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer (" + err.Error() + ")"
	}
	return fmt.Sprintf("status %d", status)
}
