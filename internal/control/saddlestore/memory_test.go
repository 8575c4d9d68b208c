package saddlestore_test

import (
	"errors"
	"io/fs"
	"maps"
	"slices"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
)

var errCrash = errors.New("crashed")

// memory is a file system that can crash at any operation. What was not synced
// is then lost or kept, as the test says.
type memory struct {
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

func newMemory() *memory {
	return &memory{live: map[string]*content{}, durable: map[string]*content{}, fault: errCrash}
}

// reboot returns the file system after a crash.
func (m *memory) reboot(keepData, keepNames bool) *memory {
	names := m.durable
	if keepNames {
		names = m.live
	}
	out := newMemory()
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

func (m *memory) step() error {
	m.operations++
	if m.failAt > 0 && m.operations >= m.failAt {
		return m.fault
	}
	return nil
}

func (m *memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(m.live)), nil
}

func (m *memory) Read(name string) ([]byte, error) {
	c, ok := m.live[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

func (m *memory) Create(name string) (saddlestore.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	c := &content{}
	m.live[name] = c
	return &handle{fs: m, content: c}, nil
}

func (m *memory) Open(name string, size int64) (saddlestore.File, error) {
	if err := m.step(); err != nil {
		return nil, err
	}
	c := m.live[name]
	c.data = slices.Clone(c.data[:size])
	return &handle{fs: m, content: c}, nil
}

func (m *memory) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

func (m *memory) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.live, name)
	return nil
}

func (m *memory) SyncFolder() error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = maps.Clone(m.live)
	return nil
}

type handle struct {
	fs      *memory
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
