package saddledisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
)

// ErrCrash is the error of operations on a disk that has crashed.
var ErrCrash = errors.New("crashed")

// Memory is an in-memory file system that can fail at any operation. It is not
// safe for concurrent use.
type Memory struct {
	files       map[string]*fileContent
	syncedFiles map[string]*fileContent // file names as of the last SyncFolder

	operations int
	failFrom   int         // number of the first operation that fails; all later ones fail too; 0: none
	failKinds  []Operation // kinds of operations that fail; empty: all
	failures   int         // operations that failed since FailFrom
	failure    error
	tornWrite  bool // if the first failing operation is a write, it writes the first half of its data

	capacity    int // bytes that the files hold at most, 0: any number
	openHandles int // files that are open
}

type fileContent struct {
	data   []byte
	synced []byte // data as of the last Sync
	// unwritten is the part of data that a failed Sync did not write. It can still be read, but
	// a later Sync does not make it durable, as in the page cache of Linux.
	unwritten span
}

// span is a part of a file, from its first byte up to the byte before its end.
type span struct{ start, end int }

// New returns an empty disk.
func New() *Memory {
	return &Memory{files: map[string]*fileContent{}, syncedFiles: map[string]*fileContent{}, failure: ErrCrash}
}

// Reboot returns the disk as it is after a crash. Unsynced file contents survive
// if keepData is set. Unsynced changes of file names survive if keepNames is set.
func (m *Memory) Reboot(keepData, keepNames bool) *Memory {
	names := m.syncedFiles
	if keepNames {
		names = m.files
	}
	out := New()
	for name, c := range names {
		data := slices.Clone(c.synced)
		if keepData {
			data = slices.Clone(c.data)
		}
		out.files[name] = &fileContent{data: data, synced: slices.Clone(data)}
	}
	out.syncedFiles = maps.Clone(out.files)
	return out
}

// Operations returns the number of attempted operations. Every call that changes
// or syncs files or file names is an operation; calls that only read are not.
func (m *Memory) Operations() int { return m.operations }

// FailFrom makes the operation with the given number and all later ones fail with
// the given error, or only those of the given kinds if there are any. Operations are
// numbered from 1 since New or Reboot; with 0, none fails. With tornWrite, the first
// failing operation writes the first half of its data if it is a write.
func (m *Memory) FailFrom(operation int, failure error, tornWrite bool, kinds ...Operation) {
	m.failFrom = operation
	m.failKinds = kinds
	m.failures = 0
	m.failure = failure
	m.tornWrite = tornWrite
}

// Failures returns the number of operations that failed since the last call of FailFrom.
func (m *Memory) Failures() int { return m.failures }

// SetCapacity makes writes fail with ENOSPC where the files would hold more than the given
// number of bytes. A write that fails writes as much as fits.
func (m *Memory) SetCapacity(bytes int) { m.capacity = bytes }

// room returns the number of bytes that fit, at most the wanted number.
func (m *Memory) room(want int) int {
	if m.capacity == 0 {
		return want
	}
	used := 0
	for _, c := range m.files {
		used += len(c.data)
	}
	return max(0, min(want, m.capacity-used))
}

// OpenHandles returns the number of files that were opened and not closed.
func (m *Memory) OpenHandles() int { return m.openHandles }

// Content returns a copy of a file's content.
func (m *Memory) Content(name string) []byte { return slices.Clone(m.files[name].data) }

// SetContent replaces a file's content to simulate corruption. It is not an
// operation and never fails.
func (m *Memory) SetContent(name string, data []byte) { m.files[name].data = data }

// DeleteFile removes a file to simulate data loss. It is not an operation and never
// fails.
func (m *Memory) DeleteFile(name string) { delete(m.files, name) }

func (m *Memory) beginOperation(kind Operation) error {
	m.operations++
	if m.failFrom > 0 && m.operations >= m.failFrom && (len(m.failKinds) == 0 || slices.Contains(m.failKinds, kind)) {
		m.failures++
		return m.failure
	}
	return nil
}

// List returns the names of all files in alphabetical order.
func (m *Memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.files)), nil
}

// Read returns a copy of a file's content.
func (m *Memory) Read(name string) ([]byte, error) {
	c, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Create creates or truncates a file.
func (m *Memory) Create(name string) (saddlestore.File, error) {
	if err := m.beginOperation(Create); err != nil {
		return nil, err
	}
	c := &fileContent{}
	m.files[name] = c
	return m.open(c), nil
}

// Open truncates a file to a size in bytes and opens it for appending. Its name is that
// of the method of saddlestore.FS.
func (m *Memory) Open(name string, size int64) (saddlestore.File, error) {
	if err := m.beginOperation(Truncate); err != nil {
		return nil, err
	}
	c := m.files[name]
	c.data = slices.Clone(c.data[:size])
	c.unwritten.end = min(c.unwritten.end, int(size))
	return m.open(c), nil
}

// Rename renames a file.
func (m *Memory) Rename(from, to string) error {
	if err := m.beginOperation(Rename); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

// Remove removes a file.
func (m *Memory) Remove(name string) error {
	if err := m.beginOperation(Remove); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

// SyncFolder makes the current set of file names durable.
func (m *Memory) SyncFolder() error {
	if err := m.beginOperation(SyncFolder); err != nil {
		return err
	}
	m.syncedFiles = maps.Clone(m.files)
	return nil
}

func (m *Memory) open(c *fileContent) *handle {
	m.openHandles++
	return &handle{fs: m, fileContent: c}
}

type handle struct {
	fs          *Memory
	fileContent *fileContent
	closed      bool
}

func (h *handle) Write(p []byte) (int, error) {
	if err := h.fs.beginOperation(Write); err != nil {
		if h.fs.tornWrite && h.fs.failures == 1 {
			h.fileContent.data = append(h.fileContent.data, p[:len(p)/2]...)
		}
		return 0, err
	}
	n := h.fs.room(len(p))
	h.fileContent.data = append(h.fileContent.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *handle) Sync() error {
	c := h.fileContent
	if err := h.fs.beginOperation(Sync); err != nil {
		if c.unwritten.start >= c.unwritten.end {
			c.unwritten.start = len(c.synced)
		}
		c.unwritten.end = len(c.data)
		return err
	}
	c.synced = slices.Clone(c.data)
	if c.unwritten.start < c.unwritten.end {
		clear(c.synced[c.unwritten.start:c.unwritten.end])
	}
	return nil
}

func (h *handle) Close() error {
	if !h.closed {
		h.closed = true
		h.fs.openHandles--
	}
	return nil
}
