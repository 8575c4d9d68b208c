package saddlebench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebench"
)

// runCommand runs a command with the default seed, 1, and returns the cells of each
// row. The key is the name of the table and the value of keyColumn, joined by a
// slash.
func runCommand(t *testing.T, keyColumn string, args ...string) map[string]map[string]string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := saddlebench.Run(context.Background(), append(args, "-json"), &out, &errOut); code != saddlebench.ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	got := map[string]map[string]string{}
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var row struct {
			Run     string
			Figures map[string]string
		}
		if err := decoder.Decode(&row); err != nil {
			t.Fatal(err)
		}
		got[row.Run+"/"+row.Figures[keyColumn]] = row.Figures
	}
	return got
}

func parseCell(t *testing.T, cells map[string]string, column string) float64 {
	t.Helper()
	x, err := strconv.ParseFloat(cells[column], 64)
	if err != nil {
		t.Fatalf("column %q: %v", column, err)
	}
	return x
}

func TestLatencyChooserMeetsThroughputAndLatencyObjectives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	saturated := runCommand(t, "way", "choice", "-scenario", "saturated", "-length", "120s", "-ways", "predicted")
	is.True(parseCell(t, saturated["choice, saturated/predicted"], "tokens by bound") >= 0.95)
	steady := runCommand(t, "way", "choice", "-scenario", "steady", "-length", "120s", "-ways", "predicted,least in flight")
	baseline := parseCell(t, steady["choice, steady/least in flight"], "p99") // the baseline with the lowest p99
	is.True(parseCell(t, steady["choice, steady/predicted"], "p99") <= baseline)
}

func TestAdmissionMeetsFairnessAndOverloadObjectives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	got := runCommand(t, "way", "admission")
	is.True(parseCell(t, got["admission, shares/fair"], "ratio") <= 2)
	is.True(parseCell(t, got["admission, overload/fair"], "least work by peak") >= 0.9)
}

func TestAttemptsStayWithinLimitWhileThirdOfEnginesFail(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	got := runCommand(t, "fault", "recovery")
	is.True(len(got) > 0)
	for _, cells := range got {
		is.True(parseCell(t, cells, "attempts from the fault on") <= 1.1)
		is.Equal(cells["failed"], "0")
	}
}

func TestRunsWithSameSeedAreEqual(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	run := func() map[string]map[string]string {
		return runCommand(t, "way", "choice", "-scenario", "bursts", "-length", "60s", "-engines", "10", "-ways", "predicted")
	}
	is.Equal(run(), run())
}
