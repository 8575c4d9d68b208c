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
	smallSegment = 200     // bytes; holds a few records
	largeSegment = 1 << 20 // bytes
)

// workload covers every kind of change that a store makes to its files.
var workload = []batch{
	hardState(1, "a"),
	entries(1, 1, 2, 3),
	entries(1, 4, 5, 6, 7, 8, 9),
	hardState(2, "b"),
	entries(2, 8, 9, 10), // replaces entries
	snapshotAt(6, 1),     // retains the entries after it
	entries(2, 11),
	entries(2, 12, 13, 14, 15, 16, 17, 18),
	snapshotAt(12, 3), // conflicts with the entries after it
	entries(3, 13),
	hardState(4, ""),
	snapshotAt(40, 4), // beyond the log
	entries(4, 41, 42),
}

// loadedState opens a store and describes its content.
func loadedState(t *testing.T, fs saddlestore.FS) string {
	t.Helper()
	_, loaded, cleanup, err := saddlestore.OpenFS(fs, smallSegment)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cleanup() }()
	return describe(loaded)
}

// After a crash at any file operation, the store holds all synced batches and at
// most a prefix of the batch that was being written. This must hold whether or not
// unsynced file contents survive the crash, and whether or not unsynced creations,
// renames and removals of files survive it.
func TestCrashAtEveryOperation(t *testing.T) {
	runs := 0
	for _, torn := range []bool{false, true} {
		for _, keepData := range []bool{false, true} {
			for _, keepNames := range []bool{false, true} {
				for failAt := 1; ; failAt++ {
					stored, fs, finished := runUntilCrash(t, failAt, torn)
					got := loadedState(t, fs.Reboot(keepData, keepNames))
					runs++
					if want := allowedStates(stored); !slices.Contains(want, got) {
						t.Fatalf("crash at operation %d (torn %t, data kept %t, names kept %t) after %d batches:\ngot  %s\nwant one of %q",
							failAt, torn, keepData, keepNames, stored, got, want)
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

// runUntilCrash applies the workload until a file operation fails and returns the
// number of batches stored.
func runUntilCrash(t *testing.T, failAt int, torn bool) (stored int, fs *saddledisk.Memory, finished bool) {
	t.Helper()
	fs = saddledisk.New()
	fs.FailFrom(failAt, saddledisk.ErrCrash, torn)
	s, _, _, err := saddlestore.OpenFS(fs, smallSegment)
	if err != nil {
		return 0, fs, false
	}
	for i, b := range workload {
		if err := b.apply(s); err != nil {
			return i, fs, false
		}
	}
	return len(workload), fs, true
}

// A second crash during the recovery from a first crash loses no synced batch.
func TestCrashDuringRecovery(t *testing.T) {
	for failAt := 1; ; failAt++ {
		stored, fs, finished := runUntilCrash(t, failAt, true)
		for failAgainAt := 1; failAgainAt < 12; failAgainAt++ {
			rebooted := fs.Reboot(true, true)
			rebooted.FailFrom(failAgainAt, saddledisk.ErrCrash, false)
			if _, _, _, err := saddlestore.OpenFS(rebooted, smallSegment); err == nil {
				break
			}
			if got := loadedState(t, rebooted.Reboot(true, false)); !slices.Contains(allowedStates(stored), got) {
				t.Fatalf("crash at %d, again at %d: got %s, want one of %q", failAt, failAgainAt, got, allowedStates(stored))
			}
		}
		if finished {
			return
		}
	}
}

// After a write error, such as a full disk, the store accepts no more writes,
// even if the disk has space again.
func TestWriteErrorStopsWrites(t *testing.T) {
	for name, c := range map[string]struct {
		failAt  int // number of the first file operation that fails, counted from the start of the batch
		records batch
		file    string
	}{
		"write":    {1, entries(1, 2, 3), "log-1"},
		"sync":     {3, entries(1, 2, 3), "log-1"},
		"snapshot": {2, snapshotAt(1, 1), "snapshot"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := saddledisk.New()
			s, _, _, err := saddlestore.OpenFS(fs, largeSegment)
			is.NoErr(err)
			is.NoErr(entries(1, 1).apply(s))
			fs.FailFrom(fs.Operations()+c.failAt, syscall.ENOSPC, false)
			err = c.records.apply(s)
			is.True(errors.Is(err, syscall.ENOSPC))
			is.True(strings.Contains(err.Error(), c.file))
			fs.FailFrom(0, nil, false)
			is.True(entries(1, 2).apply(s) != nil)
			is.True(hardState(9, "b").apply(s) != nil)
			is.True(snapshotAt(1, 1).apply(s) != nil)
			is.True(s.Sync() != nil)
		})
	}
}

func TestDataFolderInUseIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, _, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	_, _, _, err = saddlestore.Open(dir)
	var inUse *saddlestore.InUseError
	is.True(errors.As(err, &inUse))
	is.NoErr(cleanup())
	_, _, cleanup, err = saddlestore.Open(dir)
	is.NoErr(err)
	is.NoErr(cleanup())
}

func TestReopenRealDataFolder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	for _, b := range workload {
		is.NoErr(b.apply(s))
	}
	is.NoErr(cleanup())
	_, loaded, cleanup, err := saddlestore.Open(dir)
	is.NoErr(err)
	is.Equal(describe(loaded), allowedStates(len(workload))[0])
	is.NoErr(cleanup())
}
