package saddleregistry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

// A subscriber that applies what Since returns holds the same targets as the table, whatever
// happened between its updates, and no target stays for longer than the timeout.
func TestSubscriberFollowsTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := saddleregistry.New(timeout)
		now, version := start, uint64(0)
		lastReports := map[string]time.Time{}
		copied := map[string]*saddlewire.Registration{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
			id := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
			address := fmt.Sprint("10.0.0.", rapid.IntRange(0, 3).Draw(t, "address"))
			incarnation := uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
			r := reg(id, address, incarnation, uint64(step+1))
			r.Leaving = rapid.Bool().Draw(t, "leaving")
			table.Put(now, r)
			if table.Find(id) == r {
				lastReports[id] = now
			}
			table.RemoveExpired(now)
			for _, held := range table.All().GetRegistrations() {
				if now.Sub(lastReports[held.GetId()]) > timeout {
					t.Fatalf("%s has not expired", held.GetId())
				}
			}
			if rapid.Bool().Draw(t, "update") {
				changed, removed := table.Since(version)
				version = table.Version()
				for _, c := range changed {
					copied[c.GetId()] = c
				}
				for _, gone := range removed {
					delete(copied, gone)
				}
				compare(t, copied, table)
			}
		}
	})
}

// compare checks that a copy has the targets of the table, as far as selection depends on them.
func compare(t *rapid.T, copied map[string]*saddlewire.Registration, table *saddleregistry.Table) {
	held := table.All().GetRegistrations()
	if len(held) != len(copied) {
		t.Fatalf("%v copied of %v", slices.Sorted(maps.Keys(copied)), held)
	}
	for _, h := range held {
		c := copied[h.GetId()]
		if c.GetIncarnation() != h.GetIncarnation() || c.GetAddress() != h.GetAddress() || c.GetLeaving() != h.GetLeaving() {
			t.Fatalf("copied %v, held %v", c, h)
		}
	}
}
