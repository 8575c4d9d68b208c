package saddlestore_test

import (
	"encoding/binary"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// newFilledDisk returns a disk with a snapshot and several synced batches. The
// last segment is not empty.
func newFilledDisk(t *testing.T, limit int64) *saddledisk.Memory {
	t.Helper()
	fs := saddledisk.New()
	s, _, _, err := saddlestore.OpenFS(fs, limit)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range []batch{hardState(1, "a"), entries(1, 1, 2), snapshotAt(1, 1), entries(1, 3, 4, 5, 6), entries(1, 7, 8, 9, 10), entries(1, 11)} {
		if err := b.apply(s); err != nil {
			t.Fatal(err)
		}
	}
	return fs
}

func flipBit(name string, offset int) func(fs *saddledisk.Memory) {
	return func(fs *saddledisk.Memory) {
		data := fs.Content(name)
		data[offset] ^= 0x40
		fs.SetContent(name, data)
	}
}

// Corruption of synced data must be reported with the file name and never be
// skipped.
func TestCorruptionIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		limit   int64
		corrupt func(fs *saddledisk.Memory)
		file    string
	}{
		"payload in the middle":       {largeSegment, flipBit("log-2", 60), "log-2"},
		"length in the middle":        {largeSegment, flipBit("log-2", 5), "log-2"},
		"magic in the middle":         {largeSegment, flipBit("log-2", 0), "log-2"},
		"closed segment":              {smallSegment, flipBit("log-3", 40), "log-3"},
		"end of a closed segment":     {smallSegment, func(fs *saddledisk.Memory) { truncate(fs, "log-3", 1) }, "log-3"},
		"segment missing":             {smallSegment, func(fs *saddledisk.Memory) { fs.DeleteFile("log-3") }, "log-3"},
		"first segment missing":       {smallSegment, func(fs *saddledisk.Memory) { fs.DeleteFile("log-2") }, "log-2"},
		"all segments missing":        {largeSegment, func(fs *saddledisk.Memory) { fs.DeleteFile("log-2") }, "log-1"},
		"snapshot corrupted":          {largeSegment, flipBit("snapshot", 21), "snapshot"},
		"snapshot truncated":          {largeSegment, func(fs *saddledisk.Memory) { truncate(fs, "snapshot", 1) }, "snapshot"},
		"snapshot missing":            {largeSegment, func(fs *saddledisk.Memory) { fs.DeleteFile("snapshot") }, "snapshot"},
		"data after snapshot record":  {largeSegment, func(fs *saddledisk.Memory) { appendZeros(fs, "snapshot", 3) }, "snapshot"},
		"checkpoint record corrupted": {largeSegment, flipBit("log-2", 21), "log-2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := newFilledDisk(t, c.limit)
			c.corrupt(fs)
			_, _, _, err := saddlestore.OpenFS(fs, c.limit)
			var corrupt *saddlestore.CorruptionError
			is.True(errors.As(err, &corrupt))
			is.Equal(corrupt.File, c.file)
		})
	}
}

func truncate(fs *saddledisk.Memory, name string, n int) {
	data := fs.Content(name)
	fs.SetContent(name, data[:len(data)-n])
}

func appendZeros(fs *saddledisk.Memory, name string, n int) {
	fs.SetContent(name, append(fs.Content(name), make([]byte, n)...))
}

// The entries that a checkpoint segment begins with were synced before it got its name. If
// one of them is damaged, it must not be taken for a torn write, also if nothing follows it.
func TestDamagedEntryOfCheckpointIsReported(t *testing.T) {
	for name, damage := range map[string]func(*saddledisk.Memory){
		"last entry":         func(fs *saddledisk.Memory) { flipBit("log-2", len(fs.Content("log-2"))-1)(fs) },
		"end is missing":     func(fs *saddledisk.Memory) { truncate(fs, "log-2", 1) },
		"all but checkpoint": func(fs *saddledisk.Memory) { fs.SetContent("log-2", fs.Content("log-2")[:firstRecordBytes(fs)]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := saddledisk.New()
			s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
			is.NoErr(err)
			for _, b := range []batch{hardState(1, "a"), entries(1, 1, 2, 3, 4), snapshotAt(1, 1)} {
				is.NoErr(b.apply(s))
			}
			damage(fs)
			_, _, _, err = saddlestore.OpenFS(fs, largeSegment)
			var corrupt *saddlestore.CorruptionError
			is.True(errors.As(err, &corrupt))
			is.Equal(corrupt.File, "log-2")
		})
	}
}

// firstRecordBytes returns the length of the first record of log-2: a header of 20 bytes and
// the payload, whose length is in the header.
func firstRecordBytes(fs *saddledisk.Memory) int {
	return 20 + int(binary.LittleEndian.Uint32(fs.Content("log-2")[4:]))
}

// A crash can tear an unsynced write at any byte, or leave only a later part of it
// on the disk. The torn tail is truncated when the store is opened, and new
// records can be appended.
func TestTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	fs := newFilledDisk(t, largeSegment)
	want := loadedState(t, fs.Reboot(true, true))
	synced := len(fs.Content("log-2"))
	s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
	is.NoErr(err)
	fs.FailFrom(fs.Operations()+4, saddledisk.ErrCrash, false) // the sync that follows three writes
	is.True(entries(1, 12, 13, 14).apply(s) != nil)
	full := fs.Content("log-2")
	tails := map[string][]byte{
		"zeros":                     make([]byte, 64),
		"gap before a later record": append(make([]byte, 40), full[synced+40:]...),
	}
	for size := synced; size < synced+40; size++ {
		tails[""] = full[synced:size]
		for name, tail := range tails {
			rebooted := fs.Reboot(true, true)
			rebooted.SetContent("log-2", append(append([]byte(nil), full[:synced]...), tail...))
			if got := loadedState(t, rebooted); got != want {
				t.Fatalf("tail %q of %d bytes: got %s, want %s", name, len(tail), got, want)
			}
			s, _, _, err := saddlestore.OpenFS(rebooted, largeSegment)
			is.NoErr(err)
			is.NoErr(entries(1, 12).apply(s))
			is.Equal(loadedState(t, rebooted.Reboot(false, false)), want+" 12/1")
		}
	}
}
