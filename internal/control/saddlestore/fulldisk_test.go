package saddlestore_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// refusals lists what a full disk may refuse, by name.
var refusals = map[string][]saddledisk.Operation{
	"everything":      nil,
	"bytes":           {saddledisk.Write},
	"bytes and files": {saddledisk.Write, saddledisk.Create},
	"new files":       {saddledisk.Create},
	"truncation":      {saddledisk.Write, saddledisk.Truncate},
	"syncs":           {saddledisk.Sync},
	"renames":         {saddledisk.Rename},
	"removals":        {saddledisk.Remove},
	"folder syncs":    {saddledisk.SyncFolder},
}

const maxReopens = 3 // times that a store is reopened before its disk has room again

// A store whose disk is full for a while is complete once there is room: whichever operation
// is the first to fail, and however often the store is reopened meanwhile.
func TestFullDiskAtEveryOperationLosesNothing(t *testing.T) {
	for name, kinds := range refusals {
		t.Run(name, func(t *testing.T) {
			runs := 0
			for _, torn := range []bool{false, true} {
				for reopens := range maxReopens {
					for failAt := 1; fillDisk(t, failAt, torn, reopens, kinds); failAt++ {
						runs++
					}
				}
			}
			t.Logf("%d runs", runs)
			is.New(t).True(runs > 0)
		})
	}
}

// fillDisk applies the workload on a disk that is full from an operation on, and has room
// again after the store was reopened a number of times. It reports whether the disk refused
// anything.
func fillDisk(t *testing.T, failAt int, torn bool, reopens int, kinds []saddledisk.Operation) bool {
	t.Helper()
	fs := saddledisk.New()
	fs.FailFrom(failAt, syscall.ENOSPC, torn, kinds...)
	where := fmt.Sprintf("full from operation %d on (torn %t, %d reopens)", failAt, torn, reopens)
	stored := 0
	refused := false
	for attempt := 0; stored < len(workload); attempt++ {
		if attempt > len(workload)+maxReopens {
			t.Fatalf("%s: only %d batches are stored", where, stored)
		}
		if attempt > reopens {
			fs.FailFrom(0, nil, false)
		}
		s, loaded, cleanup, err := saddlestore.OpenFS(fs, smallSegment)
		refused = refused || fs.Failures() > 0
		if err != nil {
			if attempt > reopens {
				t.Fatalf("%s: the store cannot be opened although there is room: %v", where, err)
			}
			continue
		}
		if got, want := describe(loaded), allowedStates(stored); !slices.Contains(want, got) {
			t.Fatalf("%s: after %d batches:\ngot  %s\nwant one of %q", where, stored, got, want)
		}
		for _, b := range workload[stored:] {
			if err := b.apply(s); err != nil {
				break
			}
			stored++
		}
		for cleanup() != nil {
			if attempt++; attempt > reopens {
				fs.FailFrom(0, nil, false)
			}
			refused = true
		}
		refused = refused || fs.Failures() > 0
		if open := fs.OpenHandles(); open > 0 {
			t.Fatalf("%s: %d files are left open", where, open)
		}
	}
	fs.FailFrom(0, nil, false)
	want := allowedStates(stored)[0]
	if got := loadedState(t, fs); got != want {
		t.Fatalf("%s: got %s, want %s", where, got, want)
	}
	if got := loadedState(t, fs.Reboot(false, false)); got != want {
		t.Fatalf("%s: after a power failure: got %s, want %s", where, got, want)
	}
	requireNoLeftovers(t, where, fs)
	return refused
}

// requireNoLeftovers checks that a disk holds only the snapshot and one gapless run of segments.
func requireNoLeftovers(t *testing.T, where string, fs *saddledisk.Memory) {
	t.Helper()
	files, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range files {
		if strings.HasSuffix(name, ".new") {
			t.Fatalf("%s: a temporary file is left: %q", where, files)
		}
	}
}
