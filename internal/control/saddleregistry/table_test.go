package saddleregistry_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/control/saddleregistry"
	"github.com/fireflysaddle/fireflysaddle/internal/wire/saddlewire"
)

const timeout = 5 * time.Second

var start = time.Unix(1_800_000_000, 0)

func reg(id, address string, incarnation, sequence uint64) *saddlewire.Registration {
	return &saddlewire.Registration{Id: id, Group: "drafts", Address: address, Incarnation: incarnation, Sequence: sequence}
}

func TestOutdatedRegistrationIsIgnored(t *testing.T) {
	for name, outdated := range map[string]*saddlewire.Registration{
		"earlier incarnation, sequence 99":    reg("a", "10.0.0.1:80", 1, 99),
		"sent earlier, same incarnation":      reg("a", "10.0.0.1:80", 2, 4),
		"sent twice":                          reg("a", "10.0.0.1:80", 2, 5),
		"earlier incarnation, other address":  reg("a", "10.0.0.9:80", 1, 1),
		"earlier incarnation, next sequence":  reg("a", "10.0.0.1:80", 1, 6),
		"same incarnation without a sequence": reg("a", "10.0.0.1:80", 2, 0),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := saddleregistry.New(timeout)
			current := reg("a", "10.0.0.1:80", 2, 5)
			is.True(table.Put(start, current))
			version := table.Version()
			is.True(!table.Put(start, outdated))
			is.Equal(table.Version(), version)
			is.Equal(table.Find("a"), current)
		})
	}
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(timeout)
	table.Put(start, reg("a", "10.0.0.1:80", 1, 1))
	table.Put(start, reg("b", "10.0.0.2:80", 1, 1))
	version := table.Version()
	is.True(!table.Put(start, reg("a", "10.0.0.1:80", 1, 2))) // a heartbeat without changes
	changed, removed := table.Since(version)
	is.Equal(len(changed)+len(removed), 0)
	leaving := reg("a", "10.0.0.1:80", 1, 3)
	leaving.Leaving = true
	is.True(table.Put(start, leaving))
	changed, _ = table.Since(version)
	is.Equal(changed, []*saddlewire.Registration{leaving})
}

func TestProbedLayersLastUntilNextRegistration(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(timeout)
	table.Put(start, reg("a", "10.0.0.1:80", 1, 3))
	probed := reg("a", "10.0.0.1:80", 1, 3)
	probed.Looked = 1
	probed.Layers = []*saddlewire.HeldLayers{{From: 0, To: 8}}
	is.True(table.Put(start, probed))
	is.True(!table.Put(start, reg("a", "10.0.0.1:80", 1, 3)))
	is.Equal(len(table.Find("a").GetLayers()), 1)
	is.True(table.Put(start, reg("a", "10.0.0.1:80", 1, 4))) // the target reports that it holds no layers
	is.Equal(len(table.Find("a").GetLayers()), 0)
}

func TestAddressBelongsToLatestIncarnation(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(timeout)
	table.Put(start, reg("a", "10.0.0.1:80", 1, 8))
	version := table.Version()
	table.Put(start, reg("b", "10.0.0.1:80", 2, 1))
	changed, removed := table.Since(version)
	is.Equal(len(changed), 1)
	is.Equal(removed, []string{"a"})
	is.Equal(table.Find("a"), nil)
}

func TestSilentTargetIsRemoved(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(timeout)
	table.Put(start, reg("a", "10.0.0.1:80", 1, 1))
	table.Put(start.Add(2*time.Second), reg("b", "10.0.0.2:80", 1, 1))
	is.Equal(len(table.RemoveExpired(start.Add(timeout))), 0)
	is.Equal(table.RemoveExpired(start.Add(timeout+time.Millisecond)), []string{"a"})
	is.True(table.Put(start.Add(6*time.Second), reg("a", "10.0.0.1:80", 1, 2))) // the target was only unreachable
}

func TestRegistrationsSurviveRestart(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "registrations")
	saved, err := saddleregistry.Load(name)
	is.NoErr(err)
	is.Equal(saved, nil) // the first start
	table := saddleregistry.New(timeout)
	table.Put(start, reg("a", "10.0.0.1:80", 1, 1))
	is.NoErr(saddleregistry.Save(name, table.All()))
	saved, err = saddleregistry.Load(name)
	is.NoErr(err)
	next := saddleregistry.New(timeout)
	next.Restore(start, saved)
	is.Equal(next.Find("a").GetAddress(), "10.0.0.1:80")
	is.NoErr(os.WriteFile(name, []byte("\xff\xff torn"), 0o600))
	_, err = saddleregistry.Load(name)
	is.True(err != nil)
}

// Pattern: targets report to five replicas in turn, so that each replica hears of a target
// now and then only. Nothing about them may change at any replica: each change would be sent
// to all nodes of the fleet.
func TestTargetsThatReportInTurnDoNotExpire(t *testing.T) {
	is := is.New(t)
	const replicas, targets = 5, 20
	const heartbeat = 1200 * time.Millisecond
	tables := make([]*saddleregistry.Table, replicas)
	for i := range tables {
		tables[i] = saddleregistry.New(timeout)
		for id := range targets {
			tables[i].Put(start, reg(fmt.Sprint("t", id), fmt.Sprint("10.0.0.", id, ":80"), 1, 0))
		}
	}
	version := tables[0].Version()
	now := start
	for round := range 100 {
		now = now.Add(heartbeat)
		for id := range targets {
			at := (round/20 + id) % replicas // a target stays with a replica for longer than the timeout
			tables[at].Put(now, reg(fmt.Sprint("t", id), fmt.Sprint("10.0.0.", id, ":80"), 1, uint64(round+1)))
		}
		for from := range tables {
			for to := range tables {
				tables[to].MarkHeard(now, tables[from].HeardSince(now.Add(-time.Second)))
			}
			is.Equal(len(tables[from].RemoveExpired(now)), 0)
		}
	}
	is.Equal(tables[0].Version(), version)
}

// A registration that another replica holds in a newer form is outdated. It must expire here
// although the target still reports there.
func TestOutdatedRegistrationExpires(t *testing.T) {
	for name, newer := range map[string]*saddlewire.Registration{
		"restarted":          reg("a", "10.0.0.1:80", 2, 1),
		"holds layers now":   {Id: "a", Group: "drafts", Address: "10.0.0.1:80", Incarnation: 1, Sequence: 2, Layers: []*saddlewire.HeldLayers{{From: 0, To: 8}}},
		"has become leaving": {Id: "a", Group: "drafts", Address: "10.0.0.1:80", Incarnation: 1, Sequence: 2, Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			here, there := saddleregistry.New(timeout), saddleregistry.New(timeout)
			here.Put(start, reg("a", "10.0.0.1:80", 1, 1))
			later := start.Add(timeout + time.Second)
			there.Put(later, newer)
			here.MarkHeard(later, there.HeardSince(start))
			is.Equal(here.RemoveExpired(later), []string{"a"})
		})
	}
}

// A target that is gone expires at all replicas.
func TestTargetThatIsGoneExpires(t *testing.T) {
	is := is.New(t)
	here, there := saddleregistry.New(timeout), saddleregistry.New(timeout)
	here.Put(start, reg("a", "10.0.0.1:80", 1, 1))
	there.Put(start.Add(time.Second), reg("a", "10.0.0.1:80", 1, 2))
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(500 * time.Millisecond) {
		here.MarkHeard(now, there.HeardSince(now.Add(-time.Second)))
	}
	gone := start.Add(4*time.Second + timeout + time.Second)
	is.Equal(here.RemoveExpired(gone), []string{"a"})
	is.Equal(there.RemoveExpired(gone), []string{"a"})
}
