package saddlestore

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// FS is the file system interface of a store. All names are relative to one
// folder.
type FS interface {
	// List returns the names of the files.
	List() ([]string, error)
	// Read returns a file's content.
	Read(name string) ([]byte, error)
	// Create creates an empty file. It replaces an existing file of that name.
	Create(name string) (File, error)
	// Open truncates a file to a size in bytes and opens it for appending.
	Open(name string, size int64) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder() error
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content durable.
	Sync() error
}

// osDir implements FS on a directory of the operating system.
type osDir struct {
	dir string
}

func (f osDir) List() ([]string, error) {
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return nil, eris.Wrapf(err, "list %s", f.dir)
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

func (f osDir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.dir, name))
}

func (f osDir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, filePerm)
}

func (f osDir) Open(name string, size int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(f.dir, name), os.O_WRONLY|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

func (f osDir) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.dir, from), filepath.Join(f.dir, to))
}

func (f osDir) Remove(name string) error {
	return os.Remove(filepath.Join(f.dir, name))
}

func (f osDir) SyncFolder() error { return syncDir(f.dir) }

// syncDir syncs a directory, which makes the creation, renaming and removal of its
// files durable.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrapf(err, "open %s", dir)
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return eris.Wrapf(err, "sync %s", dir)
	}
	return nil
}
