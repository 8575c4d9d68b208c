package saddleprocess

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programs holds the project's programs, which are built once per test binary.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Program returns the path of one of the project's programs. The first call
// builds all of them.
func Program(t testing.TB, name string) string {
	t.Helper()
	programs.once.Do(func() {
		programs.dir, programs.err = os.MkdirTemp("", "fireflysaddle-programs-")
		if programs.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", programs.dir, "github.com/fireflysaddle/fireflysaddle/cmd/...")
		cmd.Stderr = os.Stderr
		programs.err = cmd.Run()
	})
	if programs.err != nil {
		t.Fatalf("build the programs: %v", programs.err)
	}
	return filepath.Join(programs.dir, name)
}

// RemovePrograms removes the built programs. A TestMain calls it after the tests.
func RemovePrograms() {
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
}
