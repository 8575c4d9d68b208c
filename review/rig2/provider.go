package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a front machine with the processes of the deploy file.
type machine struct {
	ip      string
	zone    string
	control bool // it is a machine of the core
}

func (m machine) front() string { return m.ip + ":" + strconv.Itoa(portFront) }
func (m machine) ready() string { return m.ip + ":" + strconv.Itoa(portReady) }
func (m machine) api() string   { return m.ip + ":" + strconv.Itoa(portControl) }

// Ports of all machines. They are set by choosePorts.
var portFront, portReady, portControl, portFirst int

// choosePorts chooses ports that are free at all machines.
func choosePorts(machines []machine) error {
	for range 50 {
		lis, err := net.Listen("tcp", machines[0].ip+":0")
		if err != nil {
			return err
		}
		base := lis.Addr().(*net.TCPAddr).Port
		_ = lis.Close()
		if base+20 < 65536 && allFree(machines, base, base+20) {
			portFront, portReady, portControl, portFirst = base, base+1, base+2, base+4
			return nil
		}
	}
	return errors.New("no free ports found")
}

func allFree(machines []machine, first, last int) bool {
	for _, m := range machines {
		for port := first; port <= last; port++ {
			lis, err := net.Listen("tcp", m.ip+":"+strconv.Itoa(port))
			if err != nil {
				return false
			}
			_ = lis.Close()
		}
	}
	return true
}

// provider starts processes and restarts those that end, as the users' machines do.
type provider struct {
	rec      *record
	machines []machine
	dir      string // holds settings and data
	target   string // folder of the built programs
	memoryMB int    // of each process; a process that uses more is killed

	mu      sync.Mutex
	stopped bool
	running map[string]*exec.Cmd
	ends    map[string]int  // processes that ended without a stop by the provider, or were killed for their memory
	down    map[string]bool // zones whose machine has no power
	disks   map[string]int  // disks that the machine of a zone has lost
	wg      sync.WaitGroup
}

func newProvider(rec *record, machines []machine, dir, target string, memoryMB int) *provider {
	return &provider{
		rec: rec, machines: machines, dir: dir, target: target, memoryMB: memoryMB,
		running: map[string]*exec.Cmd{}, ends: map[string]int{}, down: map[string]bool{}, disks: map[string]int{},
	}
}

// dataDir returns the folder of a machine's disk.
func (p *provider) dataDir(m machine) string {
	return filepath.Join(p.dir, fmt.Sprintf("disk-%s-%d", m.zone, p.disks[m.zone]))
}

// loseDisk ends the processes of a machine and takes its disk away. They stay down until
// powerOn.
func (p *provider) loseDisk(m machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[m.zone] = true
	p.disks[m.zone]++
	for _, role := range []string{"control", "gateway"} {
		_ = p.running[role+"-"+m.zone].Process.Kill()
	}
	p.rec.say("machine %s is down; its disk is lost", m.zone)
}

// powerOn lets the processes of a machine start again.
func (p *provider) powerOn(m machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down[m.zone] = false
	p.rec.say("machine %s is back with an empty disk", m.zone)
}

func (p *provider) isDown(m machine) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down[m.zone]
}

// settings returns the settings of a process, as the templates of the deploy file fill them in.
func (p *provider) settings(m machine, role string, first bool) string {
	var seeds []string
	for _, other := range p.machines {
		if other.control {
			seeds = append(seeds, strconv.Quote(other.api()))
		}
	}
	if role == "gateway" {
		return fmt.Sprintf(`node = "front-%s"
centre = "%s"
listen = "%s"
admin = "%s"
lame_duck = "2300ms"
grace = "8s"
key_lease = "5000ms"
retry_share = 0.2
retry_reserve = 206
memory = %d
[attend]
controls = [%s]
port = %d
`, m.zone, m.zone, m.front(), m.ready(), p.memoryMB, strings.Join(seeds, ","), portFirst)
	}
	return fmt.Sprintf(`node = "front-%s-control"
centre = "%s"
listen = "%s:%d"
admin = "%s:%d"
api = "%s"
data = "%s"
lame_duck = "0s"
heartbeat = "75ms"
election = "450ms"

[group]
seeds = [%s]
port = %d
first = %t
losses = 1
`, m.zone, m.zone, m.ip, portFirst, m.ip, portFirst+15, m.api(), p.dataDir(m), strings.Join(seeds, ","), portFirst, first)
}

// start starts a process and keeps it running.
func (p *provider) start(m machine, role string) error {
	name := role + "-" + m.zone
	cmd, err := p.launch(m, role, name, true)
	if err != nil {
		return err
	}
	p.wg.Go(func() {
		for {
			err := cmd.Wait()
			p.mu.Lock()
			stopped, down := p.stopped, p.down[m.zone]
			if !stopped && !down {
				p.ends[name]++
			}
			p.mu.Unlock()
			if stopped {
				return
			}
			p.rec.say("process %s ended: %v", name, err)
			time.Sleep(300 * time.Millisecond)
			for p.isDown(m) {
				time.Sleep(10 * time.Millisecond)
			}
			if cmd, err = p.launch(m, role, name, false); err != nil {
				return
			}
		}
	})
	return nil
}

func (p *provider) launch(m machine, role, name string, first bool) (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil, errors.New("stopped")
	}
	if err := os.MkdirAll(p.dataDir(m), 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(p.dir, name+".toml")
	if err := os.WriteFile(path, []byte(p.settings(m, role, first)), 0o600); err != nil {
		return nil, err
	}
	logs, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logs.Close() }()
	cmd := exec.Command(filepath.Join(p.target, "fireflysaddle"), role, "-settings", path)
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.running[name] = cmd
	p.rec.printf("process %s started", name)
	return cmd, nil
}

// watchMemory kills processes that use more memory than they have, and returns the peaks when
// stop is closed.
func (p *provider) watchMemory(stop <-chan struct{}) map[string]int {
	peaks := map[string]int{}
	for {
		select {
		case <-stop:
			return peaks
		case <-time.After(3 * time.Millisecond):
		}
		p.mu.Lock()
		for name, cmd := range p.running {
			mb := residentMB(cmd.Process.Pid)
			peaks[name] = max(peaks[name], mb)
			if mb > p.memoryMB {
				p.rec.say("process %s uses %d MB of %d MB: killed", name, mb, p.memoryMB)
				_ = cmd.Process.Kill()
				delete(p.running, name)
			}
		}
		p.mu.Unlock()
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(status, []byte("VmRSS:"))
	if !ok {
		return 0
	}
	fields := strings.Fields(string(rest))
	kb, _ := strconv.Atoi(fields[0])
	return kb / 1024
}

// endsOf returns how often a process has ended by itself.
func (p *provider) endsOf(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends[name]
}

// stop ends all processes.
func (p *provider) stop() {
	p.mu.Lock()
	p.stopped = true
	for _, cmd := range p.running {
		_ = cmd.Process.Kill()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// awaitReady waits until all front machines report ready.
func (p *provider) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, m := range p.machines {
			resp, err := http.Get("http://" + m.ready() + "/ready")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(p.machines) {
			return nil
		}
	}
	return errors.New("the machines are not ready")
}
