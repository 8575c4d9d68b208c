package saddlestore_test

import (
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// Opening a segment with arbitrary content either fails or loads a state. After a
// successful load, opening the segment again must load the same state.
func FuzzOpenSegment(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 9, 9, 9, 9})
	f.Add(firstSegment(f, workload[:3]))
	f.Add(firstSegment(f, workload))
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := saddledisk.New()
		writeSegment(t, disk, data)
		_, loaded, cleanup, err := saddlestore.OpenFS(disk, largeSegment)
		if err != nil {
			return
		}
		_ = cleanup()
		if got := loadedState(t, disk); got != describe(loaded) {
			t.Fatalf("opened twice: %s, then %s", describe(loaded), got)
		}
	})
}

// firstSegment returns the content of the first segment after some batches, or
// nil if a checkpoint removed it.
func firstSegment(tb testing.TB, batches []batch) []byte {
	tb.Helper()
	disk := saddledisk.New()
	s, _, cleanup, err := saddlestore.OpenFS(disk, largeSegment)
	if err != nil {
		tb.Fatal(err)
	}
	for _, b := range batches {
		if err := b.apply(s); err != nil {
			tb.Fatal(err)
		}
	}
	_ = cleanup()
	data, err := disk.Read("log-1")
	if err != nil {
		return nil // removed by the checkpoint of a snapshot
	}
	return data
}

func writeSegment(tb testing.TB, disk *saddledisk.Memory, data []byte) {
	tb.Helper()
	file, err := disk.Create("log-1")
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := file.Write(data); err != nil {
		tb.Fatal(err)
	}
}
