package saddleprocess

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const freezeTime = 30 * time.Second // for a process to stop after SIGSTOP

// Freeze stops the process with SIGSTOP and returns once all its threads have
// stopped: the signal is delivered some time after it is sent.
func (p *Process) Freeze(t testing.TB) {
	t.Helper()
	p.Signal(syscall.SIGSTOP)
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	Await(t, p.Node+" to be frozen", freezeTime, func() error { return stopped(pid) })
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// stopped returns nil when all threads of a process are stopped.
func stopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("process %d has ended", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The state follows the program's name, which is in parentheses.
		_, rest, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("a thread of process %d is in state %.1s", pid, rest)
		}
	}
	return nil
}
