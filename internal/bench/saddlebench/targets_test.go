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

// rows runs a command with seed 1 and returns its figures by run and way.
func rows(t *testing.T, key string, args ...string) map[string]map[string]string {
	t.Helper()
	var out, errOut bytes.Buffer
	if code := saddlebench.Run(context.Background(), append(args, "-json"), &out, &errOut); code != saddlebench.ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut.String())
	}
	got := map[string]map[string]string{}
	for lines := json.NewDecoder(&out); lines.More(); {
		var line struct {
			Run     string
			Figures map[string]string
		}
		if err := lines.Decode(&line); err != nil {
			t.Fatal(err)
		}
		got[line.Run+"/"+line.Figures[key]] = line.Figures
	}
	return got
}

func number(t *testing.T, figures map[string]string, column string) float64 {
	t.Helper()
	x, err := strconv.ParseFloat(figures[column], 64)
	if err != nil {
		t.Fatalf("column %q: %v", column, err)
	}
	return x
}

func TestTheChoiceOfTargetsMeetsItsTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	saturated := rows(t, "way", "choice", "-scenario", "saturated", "-length", "120s", "-ways", "predicted")
	is.True(number(t, saturated["choice, saturated/predicted"], "tokens by bound") >= 0.95)
	steady := rows(t, "way", "choice", "-scenario", "steady", "-length", "120s", "-ways", "predicted,least in flight")
	best := number(t, steady["choice, steady/least in flight"], "p99") // the best of the plain ways
	is.True(number(t, steady["choice, steady/predicted"], "p99") <= best)
}

func TestAdmissionMeetsItsTargets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	got := rows(t, "way", "admission")
	is.True(number(t, got["admission, shares/fair"], "ratio") <= 2)
	is.True(number(t, got["admission, overload/fair"], "least work by peak") >= 0.9)
}

func TestAttemptsMeetTheirTargetWhileAThirdOfTheTargetsAreLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	got := rows(t, "fault", "recovery")
	is.True(len(got) > 0)
	for _, figures := range got {
		is.True(number(t, figures, "attempts from the fault on") <= 1.1)
		is.Equal(figures["failed"], "0")
	}
}

func TestARunIsTheSameEveryTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	run := func() map[string]map[string]string {
		return rows(t, "way", "choice", "-scenario", "bursts", "-length", "60s", "-engines", "10", "-ways", "predicted")
	}
	is.Equal(run(), run())
}
