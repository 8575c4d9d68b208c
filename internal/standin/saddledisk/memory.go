package saddledisk

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
)

// ErrCrash is the fault of a disk that Crash stopped.
var ErrCrash = errors.New("crashed")

// Memory is a file system that can fail at any operation. It is used by one
// goroutine.
type Memory struct {
	live    map[string]*content
	durable map[string]*content // names as of the last SyncFolder

	operations int
	failAt     int // operation that fails, with all after it; 0: none
	fault      error
	torn       bool // the failing write leaves its first half
}

type content struct {
	data   []byte
	synced []byte
}

// New returns an empty disk.
func New() *Memory {
	return &Memory{live: map[string]*content{}, durable: map[string]*content{}, fault: ErrCrash}
}

// Reboot returns the disk after a crash: what was not synced is kept or lost,
// content and names each.
func (m *Memory) Reboot(keepData, keepNames bool) *Memory {
	names := m.durable
	if keepNames {
		names = m.live
	}
	out := New()
	for name, c := range names {
		data := slices.Clone(c.synced)
		if keepData {
			data = slices.Clone(c.data)
		}
		out.live[name] = &content{data: data, synced: slices.Clone(data)}
	}
	out.durable = maps.Clone(out.live)
	return out
}

// Operations returns how many operations were asked for.
func (m *Memory) Operations() int { return m.operations }

// FailFrom lets an operation, counted from the disk's first, and all after it
// fail with a fault. A torn write leaves its first half. 0 lets none fail.
func (m *Memory) FailFrom(operation int, fault error, torn bool) {
	m.failAt = operation
	m.fault = fault
	m.torn = torn
}

// Content returns a file's content, which the caller may change with
// SetContent.
func (m *Memory) Content(name string) []byte { return slices.Clone(m.live[name].data) }

// SetContent replaces a file's content, as damage does.
func (m *Memory) SetContent(name string, data []byte) { m.live[name].data = data }

// DeleteFile removes a file, as damage does.
func (m *Memory) DeleteFile(name string) { delete(m.live, name) }

func (m *Memory) step() error {
	m.operations++
	if m.failAt > 0 && m.operations >= m.failAt {
		return m.fault
	}
	return nil
}

// List lists the files.
func (m *Memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.live)), nil
}

// Read returns a file's content.
func (m *Memory) Read(name string) ([]byte, error) {
	c, ok := m.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Create creates or empties a file.
func (m *Memory) Create(name string) (saddlestore.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	c := &content{}
	m.live[name] = c
	return &handle{fs: m, content: c}, nil
}

// Open opens a file cut to a size.
func (m *Memory) Open(name string, size int64) (saddlestore.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	c := m.live[name]
	c.data = slices.Clone(c.data[:size])
	return &handle{fs: m, content: c}, nil
}

// Rename renames a file.
func (m *Memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

// Remove removes a file.
func (m *Memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.live, name)
	return nil
}

// SyncFolder makes the names durable.
func (m *Memory) SyncFolder() error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.live)
	return nil
}

type handle struct {
	fs      *Memory
	content *content
}

func (h *handle) Write(p []byte) (int, error) {
	if err := h.fs.step(); err != nil {
		if h.fs.torn && h.fs.operations == h.fs.failAt {
			h.content.data = append(h.content.data, p[:len(p)/2]...)
		}
		return 0, err
	}
	h.content.data = append(h.content.data, p...)
	return len(p), nil
}

func (h *handle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.content.synced = slices.Clone(h.content.data)
	return nil
}

func (h *handle) Close() error { return nil }
