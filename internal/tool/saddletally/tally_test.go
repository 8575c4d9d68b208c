package saddletally_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/tool/saddletally"
)

var (
	known   = saddletally.TestID{Package: "p", Test: "TestKnown"}
	pkg     = saddletally.TestID{Package: "p"}
	another = saddletally.TestID{Package: "p", Test: "TestOther"}
)

func event(action, test, output string) saddletally.Event {
	return saddletally.Event{Action: action, Package: "p", Test: test, Output: output}
}

// A package that fails only because of a known failure is passed over. A failure of its own
// beside the known one is not.
func TestPackageFailureBesideAKnownOneCounts(t *testing.T) {
	failed := []saddletally.Event{event("run", "TestKnown", ""), event("fail", "TestKnown", "")}
	for name, c := range map[string]struct {
		events []saddletally.Event
		want   []saddletally.TestID
	}{
		"known failure only": {[]saddletally.Event{event("output", "", "FAIL\n"), event("output", "", "exit status 1\n"), event("output", "", "FAIL\tp\t0.1s\n")}, nil},
		"panic":              {[]saddletally.Event{event("output", "", "panic: out of range\n"), event("output", "", "FAIL\tp\t0.1s\n")}, []saddletally.TestID{pkg}},
		"data race":          {[]saddletally.Event{event("output", "", "WARNING: DATA RACE\n")}, []saddletally.TestID{pkg}},
		"exit status 66":     {[]saddletally.Event{event("output", "", "exit status 66\n")}, []saddletally.TestID{pkg}},
		"test did not end":   {[]saddletally.Event{event("run", "TestOther", ""), event("output", "", "FAIL\tp\t0.1s\n")}, []saddletally.TestID{pkg}},
		"another test":       {[]saddletally.Event{event("run", "TestOther", ""), event("fail", "TestOther", ""), event("output", "", "FAIL\n")}, []saddletally.TestID{another}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tally := saddletally.New(&bytes.Buffer{}, map[saddletally.TestID]string{known: "line"})
			for _, e := range append(failed[:2:2], c.events...) {
				tally.Handle(e)
			}
			tally.Handle(event("fail", "", ""))
			is.Equal(tally.UnknownFailed(), c.want)
			is.Equal(tally.KnownFailed(), []saddletally.TestID{known})
		})
	}
}

func TestSummaryListsKnownFailures(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	gone := saddletally.TestID{Package: "p", Test: "TestGone"}
	tally := saddletally.New(&out, map[saddletally.TestID]string{known: "known line", gone: "gone line"})
	tally.Handle(event("pass", "TestOther", ""))
	tally.Handle(event("skip", "TestLater", ""))
	tally.Handle(event("fail", "TestKnown", ""))
	tally.PrintSummary()
	is.Equal(out.String(), "KNOWN RED: known line\n"+
		"KNOWN RED that did not fail; remove it from the list: gone line\n"+
		"1 passed, 0 failed, 1 skipped\nand 1 failed that are known\n")
	is.Equal(tally.Passed(), 1)
}

func TestListOfKnownFailuresIsChecked(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	is.NoErr(os.WriteFile(file, []byte("# comment\np\tTestKnown\tgo test\tseen\t10\n"), 0o600))
	list, err := saddletally.ReadKnownFailures(file)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.True(list[known] != "")
	is.NoErr(os.WriteFile(file, []byte("p\tTestKnown\n"), 0o600))
	_, err = saddletally.ReadKnownFailures(file)
	is.True(err != nil)
}
