package saddlestore_test

import (
	"testing"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddlestore"
	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddledisk"
)

// Whatever a segment holds, opening it ends with what is stored there or with an
// error, and opening it again with the same.
func FuzzOpenSegment(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 9, 9, 9, 9})
	f.Add(segmentOf(f, history[:3]))
	f.Add(segmentOf(f, history))
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := saddledisk.New()
		write(t, disk, data)
		_, loaded, cleanup, err := saddlestore.OpenFS(disk, largeSegment)
		if err != nil {
			return
		}
		_ = cleanup()
		if got := holds(t, disk); got != describe(loaded) {
			t.Fatalf("opened twice: %s, then %s", describe(loaded), got)
		}
	})
}

// segmentOf returns the first segment that a history leaves.
func segmentOf(tb testing.TB, changes []change) []byte {
	tb.Helper()
	disk := saddledisk.New()
	s, _, cleanup, err := saddlestore.OpenFS(disk, largeSegment)
	if err != nil {
		tb.Fatal(err)
	}
	for _, c := range changes {
		if err := c.apply(s); err != nil {
			tb.Fatal(err)
		}
	}
	_ = cleanup()
	data, err := disk.Read("log-1")
	if err != nil {
		return nil // a snapshot replaced it
	}
	return data
}

func write(tb testing.TB, disk *saddledisk.Memory, data []byte) {
	tb.Helper()
	file, err := disk.Create("log-1")
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := file.Write(data); err != nil {
		tb.Fatal(err)
	}
}
