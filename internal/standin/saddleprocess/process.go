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
	readyTime = 30 * time.Second // for a process to become ready
	stopTime  = 30 * time.Second // for a process to end after SIGTERM
	pollTime  = 20 * time.Millisecond
)

// Process is a daemon in a process of its own.
type Process struct {
	Node  string
	Admin string

	role     string
	settings string // file

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan error
	logs *logBuffer
}

// logBuffer keeps what a process writes.
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

// Start writes the settings and starts the process, which is killed at the end
// of the test if it still runs.
func Start(t testing.TB, dir, role, node, admin, settings string) *Process {
	t.Helper()
	p := &Process{Node: node, Admin: admin, role: role, settings: filepath.Join(dir, node+".toml"), logs: &logBuffer{}}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
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

// Start starts the process, anew after it has ended.
func (p *Process) Start(t testing.TB) {
	t.Helper()
	cmd := exec.Command(Program(t, "fireflysaddle"), p.role, "-settings", p.settings)
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

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	err := <-done
	done <- err
}

// Stop sends SIGTERM, waits for the end and fails the test unless the process
// ended with exit code 0.
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
	case <-time.After(stopTime):
		t.Errorf("%s did not end within %s", p.Node, stopTime)
	}
}

// AwaitReady waits until the process says that it is ready.
func (p *Process) AwaitReady(t testing.TB) {
	t.Helper()
	Await(t, p.Node+" to be ready", readyTime, func() error {
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

// Await tries again and again until a condition holds, and fails the test when
// it does not within the time.
func Await(t testing.TB, what string, within time.Duration, holds func() error) {
	t.Helper()
	until := time.Now().Add(within)
	for {
		err := holds()
		if err == nil {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("waited %s for %s: %v", within, what, err)
		}
		time.Sleep(pollTime)
	}
}
