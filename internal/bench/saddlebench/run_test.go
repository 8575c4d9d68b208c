package saddlebench_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/bench/saddlebench"
)

func TestCommandLineIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		code int
		text string
	}{
		"help of a command": {[]string{"choice", "-h"}, saddlebench.ExitOK, "-scenario"},
		"unknown scenario":  {[]string{"choice", "-scenario", "calm"}, saddlebench.ExitFailed, "saturated"},
		"unknown way":       {[]string{"choice", "-ways", "random,best"}, saddlebench.ExitFailed, `"best" must be one of`},
		"unknown table":     {[]string{"hops", "-table", "jumps"}, saddlebench.ExitFailed, "hops, streams or recovery"},
		"unknown command":   {[]string{"slopes"}, saddlebench.ExitUsage, "unknown command"},
		"no command at all": {nil, saddlebench.ExitOK, "Usage: saddlebench"},
		"unknown flag":      {[]string{"choice", "-colour"}, saddlebench.ExitFailed, "-colour"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(saddlebench.Run(t.Context(), c.args, &out, &out), c.code)
			is.True(strings.Contains(out.String(), c.text))
		})
	}
}
