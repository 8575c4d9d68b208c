package saddleregistry_test

import (
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
