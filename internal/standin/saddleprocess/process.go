package saddleprocess

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/admin/saddleadmin"
)

const (
	readyTimeout = 30 * time.Second // limit of the wait for a process to become ready
	stopTimeout  = 30 * time.Second // limit of the wait for a process to exit after SIGTERM
	pollInterval = 20 * time.Millisecond
)

// Process is a daemon that runs as a separate process. It can be restarted.
type Process struct {
	Node  string
	Admin string // address of the admin listener

	role         string
	settingsFile string // path

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error // delivers the exit error; each receiver sends it back for the next receiver
	logs *logBuffer
}

// logBuffer collects the output of a process. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start writes the settings file and starts the process. At the end of the test
// the process is killed, and its log is printed if the test failed.
func Start(t testing.TB, dir, role, node, admin, settings string) *Process {
	t.Helper()
	p := &Process{Node: node, Admin: admin, role: role, settingsFile: filepath.Join(dir, node+".toml"), logs: &logBuffer{}}
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Start(t)
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", node, p.logs)
		}
	})
	return p
}

// Start starts the process, or restarts it after it has exited.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	cmd := exec.Command(Program(t, "fireflysaddle"), p.role, "-settings", p.settingsFile)
	cmd.Stdout = p.logs
	cmd.Stderr = p.logs
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", p.Node, err)
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	p.mu.Lock()
	p.cmd = cmd
	p.done = done
	p.mu.Unlock()
}

// PID returns the identifier of the process in the operating system.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill sends SIGKILL and waits until the process has exited. It resumes a frozen
// process first.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	err := <-done
	done <- err
}

// Stop sends SIGTERM and fails the test unless the process exits with code 0
// within stopTimeout.
func (p *Process) Stop(t testing.TB) {
	t.Helper()
	p.Signal(syscall.SIGTERM)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case err := <-done:
		done <- err
		if err != nil {
			t.Errorf("%s: %v", p.Node, err)
		}
	case <-time.After(stopTimeout):
		t.Errorf("%s did not exit within %s", p.Node, stopTimeout)
	}
}

// AwaitReady waits until the readiness check of the process succeeds.
func (p *Process) AwaitReady(t testing.TB) {
	t.Helper()
	Await(t, p.Node+" to be ready", readyTimeout, func() error {
		resp, err := http.Get("http://" + p.Admin + saddleadmin.PathReady)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		return nil
	})
}

// Await polls check until it returns nil, and fails the test after the timeout.
// condition describes what is awaited, for the failure message.
func Await(t testing.TB, condition string, timeout time.Duration, check func() error) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waited %s for %s: %v", timeout, condition, err)
		}
		time.Sleep(pollInterval)
	}
}
