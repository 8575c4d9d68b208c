package saddlestore_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
)

// written returns files with three synced groups of records; the last segment
// is not empty.
func written(t *testing.T, limit int64) *memory {
	t.Helper()
	fs := newMemory()
	s, _, _, err := saddlestore.OpenFS(fs, limit)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []change{vote(1, "a"), put(1, 1, 2), snap(1, 1), put(1, 3, 4, 5, 6), put(1, 7, 8, 9, 10), put(1, 11)} {
		if err := c.apply(s); err != nil {
			t.Fatal(err)
		}
	}
	return fs
}

func flip(name string, at int) func(fs *memory) {
	return func(fs *memory) { fs.live[name].data[at] ^= 0x40 }
}

// Damage to what was synced is refused by name, never skipped.
func TestDamageIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		damage func(fs *memory)
		file   string
	}{
		"payload in the middle":     {largeSegment, flip("log-2", 60), "log-2"},
		"length in the middle":      {largeSegment, flip("log-2", 5), "log-2"},
		"magic in the middle":       {largeSegment, flip("log-2", 0), "log-2"},
		"closed segment":            {smallSegment, flip("log-3", 40), "log-3"},
		"end of a closed segment":   {smallSegment, func(fs *memory) { cut(fs, "log-3", 1) }, "log-3"},
		"segment missing":           {smallSegment, func(fs *memory) { delete(fs.live, "log-3") }, "log-3"},
		"first segment missing":     {smallSegment, func(fs *memory) { delete(fs.live, "log-2") }, "log-2"},
		"all segments missing":      {largeSegment, func(fs *memory) { delete(fs.live, "log-2") }, "log-1"},
		"snapshot damaged":          {largeSegment, flip("snapshot", 21), "snapshot"},
		"snapshot cut":              {largeSegment, func(fs *memory) { cut(fs, "snapshot", 1) }, "snapshot"},
		"snapshot missing":          {largeSegment, func(fs *memory) { delete(fs.live, "snapshot") }, "snapshot"},
		"something after snapshot":  {largeSegment, func(fs *memory) { add(fs, "snapshot", 3) }, "snapshot"},
		"all after checkpoint gone": {largeSegment, flip("log-2", 21), "log-2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := written(t, c.limit)
			c.damage(fs)
			_, _, _, err := saddlestore.OpenFS(fs, c.limit)
			var damage *saddlestore.DamageError
			is.True(errors.As(err, &damage)) // refused
			is.Equal(damage.File, c.file)
		})
	}
}

func cut(fs *memory, name string, n int) {
	fs.live[name].data = fs.live[name].data[:len(fs.live[name].data)-n]
}

func add(fs *memory, name string, n int) {
	fs.live[name].data = append(fs.live[name].data, make([]byte, n)...)
}

// What was never synced is cut off wherever the crash tore it, and the store
// goes on.
func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	fs := written(t, largeSegment)
	want := holds(t, fs.reboot(true, true))
	synced := len(fs.live["log-2"].data)
	s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
	is.NoErr(err)
	fs.failAt = fs.operations + 4 // the sync after three entries
	is.True(put(1, 12, 13, 14).apply(s) != nil)
	full := fs.live["log-2"].data
	tails := map[string][]byte{
		"zeros":                   make([]byte, 64),
		"later record reached it": append(make([]byte, 40), full[synced+40:]...),
	}
	for size := synced; size < synced+40; size++ {
		tails[""] = full[synced:size]
		for name, tail := range tails {
			after := fs.reboot(true, true)
			after.live["log-2"].data = append(append([]byte(nil), full[:synced]...), tail...)
			if got := holds(t, after); got != want {
				t.Fatalf("tail %q of %d bytes: got %s, want %s", name, len(tail), got, want)
			}
			s, _, _, err := saddlestore.OpenFS(after, largeSegment)
			is.NoErr(err)
			is.NoErr(put(1, 12).apply(s))
			is.Equal(holds(t, after.reboot(false, false)), want+" 12/1")
		}
	}
}
