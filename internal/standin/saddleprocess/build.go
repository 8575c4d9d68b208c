package saddleprocess

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programs are built once for all tests of a test binary.
var programs struct {
	once sync.Once
	dir  string
	err  error
}

// Program returns the path of one of the project's programs, built when first
// asked for.
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

// RemovePrograms removes the programs; a TestMain calls it at the end.
func RemovePrograms() {
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir)
	}
}
