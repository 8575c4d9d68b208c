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

const silence = 5 * time.Second

var start = time.Unix(1_800_000_000, 0)

func reg(id, address string, incarnation, sequence uint64) *saddlewire.Registration {
	return &saddlewire.Registration{Id: id, Group: "drafts", Address: address, Incarnation: incarnation, Sequence: sequence}
}

func TestARegistrationThatWasOvertakenChangesNothing(t *testing.T) {
	for name, late := range map[string]*saddlewire.Registration{
		"of an earlier start":                  reg("a", "10.0.0.1:80", 1, 99),
		"sent earlier by the same start":       reg("a", "10.0.0.1:80", 2, 4),
		"the same again":                       reg("a", "10.0.0.1:80", 2, 5),
		"of an earlier start elsewhere":        reg("a", "10.0.0.9:80", 1, 1),
		"from before a start at its address":   reg("a", "10.0.0.1:80", 1, 6),
		"of the same start without a sequence": reg("a", "10.0.0.1:80", 2, 0),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := saddleregistry.New(silence)
			now := reg("a", "10.0.0.1:80", 2, 5)
			is.True(table.Take(start, now))
			version := table.Version()
			is.True(!table.Take(start, late))
			is.Equal(table.Version(), version)
			is.Equal(table.Find("a"), now)
		})
	}
}

func TestOnlyWhatChangedIsPassedOn(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(silence)
	table.Take(start, reg("a", "10.0.0.1:80", 1, 1))
	table.Take(start, reg("b", "10.0.0.2:80", 1, 1))
	version := table.Version()
	is.True(!table.Take(start, reg("a", "10.0.0.1:80", 1, 2))) // a mere heartbeat
	changed, gone := table.Since(version)
	is.Equal(len(changed)+len(gone), 0)
	leaving := reg("a", "10.0.0.1:80", 1, 3)
	leaving.Leaving = true
	is.True(table.Take(start, leaving))
	changed, _ = table.Since(version)
	is.Equal(changed, []*saddlewire.Registration{leaving})
}

func TestWhatWasLearntOfATargetHoldsUntilItSpeaks(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(silence)
	table.Take(start, reg("a", "10.0.0.1:80", 1, 3))
	learnt := reg("a", "10.0.0.1:80", 1, 3)
	learnt.Looked = 1
	learnt.Layers = []*saddlewire.HeldLayers{{From: 0, To: 8}}
	is.True(table.Take(start, learnt))
	is.True(!table.Take(start, reg("a", "10.0.0.1:80", 1, 3)))
	is.Equal(len(table.Find("a").GetLayers()), 1)
	is.True(table.Take(start, reg("a", "10.0.0.1:80", 1, 4))) // it holds nothing after all
	is.Equal(len(table.Find("a").GetLayers()), 0)
}

func TestAnAddressBelongsToTheLatestStart(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(silence)
	table.Take(start, reg("a", "10.0.0.1:80", 1, 8))
	version := table.Version()
	table.Take(start, reg("b", "10.0.0.1:80", 2, 1))
	changed, gone := table.Since(version)
	is.Equal(len(changed), 1)
	is.Equal(gone, []string{"a"})
	is.Equal(table.Find("a"), nil)
}

func TestASilentTargetIsRemoved(t *testing.T) {
	is := is.New(t)
	table := saddleregistry.New(silence)
	table.Take(start, reg("a", "10.0.0.1:80", 1, 1))
	table.Take(start.Add(2*time.Second), reg("b", "10.0.0.2:80", 1, 1))
	is.Equal(len(table.Sweep(start.Add(silence))), 0)
	is.Equal(table.Sweep(start.Add(silence+time.Millisecond)), []string{"a"})
	is.True(table.Take(start.Add(6*time.Second), reg("a", "10.0.0.1:80", 1, 2))) // it was only cut off
}

func TestRegistrationsOutliveTheProcess(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "registrations")
	saved, err := saddleregistry.Load(name)
	is.NoErr(err)
	is.Equal(saved, nil) // the first start
	table := saddleregistry.New(silence)
	table.Take(start, reg("a", "10.0.0.1:80", 1, 1))
	is.NoErr(saddleregistry.Save(name, table.All()))
	saved, err = saddleregistry.Load(name)
	is.NoErr(err)
	next := saddleregistry.New(silence)
	next.Restore(start, saved)
	is.Equal(next.Find("a").GetAddress(), "10.0.0.1:80")
	is.NoErr(os.WriteFile(name, []byte("\xff\xff torn"), 0o600))
	_, err = saddleregistry.Load(name)
	is.True(err != nil)
}
