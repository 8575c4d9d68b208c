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

const freezeTimeout = 30 * time.Second // limit of the wait for a process to stop after SIGSTOP

// Freeze sends SIGSTOP and waits until all threads of the process have stopped.
// The wait is needed because the signal is delivered asynchronously.
func (p *Process) Freeze(t testing.TB) {
	t.Helper()
	p.Signal(syscall.SIGSTOP)
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	Await(t, p.Node+" to be frozen", freezeTimeout, func() error { return checkStopped(pid) })
}

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// checkStopped returns nil if all threads of a process are stopped.
func checkStopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return fmt.Errorf("process %d has exited", pid)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		// The state follows the program name, which is in parentheses.
		_, rest, _ := strings.Cut(string(text), ") ")
		if !strings.HasPrefix(rest, "T") {
			return fmt.Errorf("a thread of process %d is in state %.1s", pid, rest)
		}
	}
	return nil
}
