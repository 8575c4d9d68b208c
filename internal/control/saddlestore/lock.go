package saddlestore

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

const lockName = "lock"

// InUseError is returned when another process holds the lock of the data folder.
type InUseError struct {
	Dir string
}

// Error returns a message with the folder.
func (e *InUseError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process", e.Dir)
}

// lockDir locks a data folder for this process until the returned file is closed.
func lockDir(dir string) (*os.File, error) {
	name := filepath.Join(dir, lockName)
	file, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", name)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, &InUseError{Dir: dir}
	}
	return file, nil
}
