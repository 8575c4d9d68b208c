package saddlestore_test

import (
	"errors"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

const (
	smallSegment = 200     // bytes; a few records
	largeSegment = 1 << 20 // bytes
)

// history covers every way in which the files change.
var history = []change{
	vote(1, "a"),
	put(1, 1, 2, 3),
	put(1, 4, 5, 6, 7, 8, 9),
	vote(2, "b"),
	put(2, 8, 9, 10), // replaces entries
	snap(6, 1),       // leaves entries after it
	put(2, 11),
	put(2, 12, 13, 14, 15, 16, 17, 18),
	snap(12, 3), // conflicts with the entries after it
	put(3, 13),
	vote(4, ""),
	snap(40, 4), // beyond the log
	put(4, 41, 42),
}

// holds opens a store and describes what it holds.
func holds(t *testing.T, fs saddlestore.FS) string {
	t.Helper()
	_, loaded, cleanup, err := saddlestore.OpenFS(fs, smallSegment)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cleanup() }()
	return describe(loaded)
}

// A crash at any operation on the files, whatever of the unsynced is lost,
// leaves all that was stored and nothing but what was being stored.
func TestCrashAtEveryOperationKeepsWhatWasStored(t *testing.T) {
	runs := 0
	for _, torn := range []bool{false, true} {
		for _, keepData := range []bool{false, true} {
			for _, keepNames := range []bool{false, true} {
				for failAt := 1; ; failAt++ {
					done, fs, finished := crash(t, failAt, torn)
					got := holds(t, fs.Reboot(keepData, keepNames))
					runs++
					if want := allowed(done); !slices.Contains(want, got) {
						t.Fatalf("crash at operation %d (torn %t, data kept %t, names kept %t) after %d changes:\ngot  %s\nwant one of %q",
							failAt, torn, keepData, keepNames, done, got, want)
					}
					if finished {
						break
					}
				}
			}
		}
	}
	t.Logf("%d crashes", runs)
}

// crash runs the history until an operation fails and returns how many changes
// were stored.
func crash(t *testing.T, failAt int, torn bool) (done int, fs *saddledisk.Memory, finished bool) {
	t.Helper()
	fs = saddledisk.New()
	fs.FailAt(failAt, saddledisk.ErrCrash, torn)
	s, _, _, err := saddlestore.OpenFS(fs, smallSegment)
	if err != nil {
		return 0, fs, false
	}
	for i, c := range history {
		if err := c.apply(s); err != nil {
			return i, fs, false
		}
	}
	return len(history), fs, true
}

// A crash while the files are being opened after a crash is no different.
func TestCrashWhileRecoveringKeepsWhatWasStored(t *testing.T) {
	for failAt := 1; ; failAt++ {
		done, fs, finished := crash(t, failAt, true)
		for again := 1; again < 12; again++ {
			second := fs.Reboot(true, true)
			second.FailAt(again, saddledisk.ErrCrash, false)
			if _, _, _, err := saddlestore.OpenFS(second, smallSegment); err == nil {
				break
			}
			if got := holds(t, second.Reboot(true, false)); !slices.Contains(allowed(done), got) {
				t.Fatalf("crash at %d, again at %d: got %s, want one of %q", failAt, again, got, allowed(done))
			}
		}
		if finished {
			return
		}
	}
}

// After a write error the store takes nothing more, also when the disk has
// room again.
func TestDiskFullStopsTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		at   int
		what change
		file string
	}{
		"write":    {1, put(1, 2, 3), "log-1"},
		"sync":     {3, put(1, 2, 3), "log-1"},
		"snapshot": {2, snap(1, 1), "snapshot"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := saddledisk.New()
			s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
			is.NoErr(err)
			is.NoErr(put(1, 1).apply(s))
			fs.FailAt(fs.Operations()+c.at, syscall.ENOSPC, false)
			err = c.what.apply(s)
			is.True(errors.Is(err, syscall.ENOSPC))
			is.True(strings.Contains(err.Error(), c.file)) // names the file
			fs.FailAt(0, nil, false)
			is.True(put(1, 2).apply(s) != nil)
			is.True(vote(9, "b").apply(s) != nil)
			is.True(snap(1, 1).apply(s) != nil)
			is.True(s.Sync() != nil)
		})
	}
}

func TestFolderInUseIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, _, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	_, _, _, err = saddlestore.Open(dir)
	var used *saddlestore.InUseError
	is.True(errors.As(err, &used))
	is.NoErr(cleanup())
	_, _, cleanup, err = saddlestore.Open(dir)
	is.NoErr(err)
	is.NoErr(cleanup())
}

func TestFolderOfOperatingSystemKeepsWhatWasStored(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	for _, c := range history {
		is.NoErr(c.apply(s))
	}
	is.NoErr(cleanup())
	_, loaded, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	is.Equal(describe(loaded), allowed(len(history))[0])
	is.NoErr(cleanup())
}
