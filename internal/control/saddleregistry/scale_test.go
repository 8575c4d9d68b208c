package saddleregistry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
)

// largeFleet is the number of targets of the largest deployment that CAPACITY.md describes.
const largeFleet = 3000

func newLargeTable() *saddleregistry.Table {
	table := saddleregistry.New(timeout)
	for i := range largeFleet {
		table.Put(start, reg(fmt.Sprint("t", i), fmt.Sprint("10.0.0.", i, ":80"), 1, 1))
	}
	return table
}

// BenchmarkReport measures a report of a target that changes nothing.
func BenchmarkReport(b *testing.B) {
	table := newLargeTable()
	i := 0
	for b.Loop() {
		i++
		id := i % largeFleet
		table.Put(start, reg(fmt.Sprint("t", id), fmt.Sprint("10.0.0.", id, ":80"), 1, uint64(i+2)))
	}
}

// BenchmarkSinceOneChange measures the update of one subscriber after one change.
func BenchmarkSinceOneChange(b *testing.B) {
	table := newLargeTable()
	for b.Loop() {
		table.Since(table.Version() - 1)
	}
}

// BenchmarkRemoveNoneExpired measures the check that follows each event.
func BenchmarkRemoveNoneExpired(b *testing.B) {
	table := newLargeTable()
	for b.Loop() {
		table.RemoveExpired(start.Add(time.Second))
	}
}
