package saddlestore_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// written returns files with three synced groups of records; the last segment
// is not empty.
func written(t *testing.T, limit int64) *saddledisk.Memory {
	t.Helper()
	fs := saddledisk.New()
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

func flip(name string, at int) func(fs *saddledisk.Memory) {
	return func(fs *saddledisk.Memory) {
		data := fs.Content(name)
		data[at] ^= 0x40
		fs.SetContent(name, data)
	}
}

// Damage to what was synced is refused by name, never skipped.
func TestDamageIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		damage func(fs *saddledisk.Memory)
		file   string
	}{
		"payload in the middle":     {largeSegment, flip("log-2", 60), "log-2"},
		"length in the middle":      {largeSegment, flip("log-2", 5), "log-2"},
		"magic in the middle":       {largeSegment, flip("log-2", 0), "log-2"},
		"closed segment":            {smallSegment, flip("log-3", 40), "log-3"},
		"end of a closed segment":   {smallSegment, func(fs *saddledisk.Memory) { cut(fs, "log-3", 1) }, "log-3"},
		"segment missing":           {smallSegment, func(fs *saddledisk.Memory) { fs.Lose("log-3") }, "log-3"},
		"first segment missing":     {smallSegment, func(fs *saddledisk.Memory) { fs.Lose("log-2") }, "log-2"},
		"all segments missing":      {largeSegment, func(fs *saddledisk.Memory) { fs.Lose("log-2") }, "log-1"},
		"snapshot damaged":          {largeSegment, flip("snapshot", 21), "snapshot"},
		"snapshot cut":              {largeSegment, func(fs *saddledisk.Memory) { cut(fs, "snapshot", 1) }, "snapshot"},
		"snapshot missing":          {largeSegment, func(fs *saddledisk.Memory) { fs.Lose("snapshot") }, "snapshot"},
		"something after snapshot":  {largeSegment, func(fs *saddledisk.Memory) { add(fs, "snapshot", 3) }, "snapshot"},
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

func cut(fs *saddledisk.Memory, name string, n int) {
	data := fs.Content(name)
	fs.SetContent(name, data[:len(data)-n])
}

func add(fs *saddledisk.Memory, name string, n int) {
	fs.SetContent(name, append(fs.Content(name), make([]byte, n)...))
}

// What was never synced is cut off wherever the crash tore it, and the store
// goes on.
func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	fs := written(t, largeSegment)
	want := holds(t, fs.Reboot(true, true))
	synced := len(fs.Content("log-2"))
	s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
	is.NoErr(err)
	fs.FailAt(fs.Operations()+4, saddledisk.ErrCrash, false) // the sync after three entries
	is.True(put(1, 12, 13, 14).apply(s) != nil)
	full := fs.Content("log-2")
	tails := map[string][]byte{
		"zeros":                   make([]byte, 64),
		"later record reached it": append(make([]byte, 40), full[synced+40:]...),
	}
	for size := synced; size < synced+40; size++ {
		tails[""] = full[synced:size]
		for name, tail := range tails {
			after := fs.Reboot(true, true)
			after.SetContent("log-2", append(append([]byte(nil), full[:synced]...), tail...))
			if got := holds(t, after); got != want {
				t.Fatalf("tail %q of %d bytes: got %s, want %s", name, len(tail), got, want)
			}
			s, _, _, err := saddlestore.OpenFS(after, largeSegment)
			is.NoErr(err)
			is.NoErr(put(1, 12).apply(s))
			is.Equal(holds(t, after.Reboot(false, false)), want+" 12/1")
		}
	}
}
