package saddlectl_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/command/saddlectl"
)

func TestControlReplaceChecksItsArguments(t *testing.T) {
	for name, args := range map[string][]string{
		"nothing":          {},
		"one":              {"control-2"},
		"no address":       {"control-2", "control-4"},
		"address missing":  {"control-2", "control-4", "-"},
		"neither":          {"-", "-", "-"},
		"address for none": {"control-2", "-", "127.0.0.1:1"},
		"one too many":     {"control-2", "control-4", "127.0.0.1:1", "more"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			code := saddlectl.Run(context.Background(), append([]string{"control-replace", "-controls", "127.0.0.1:1"}, args...), &out, &errOut)
			is.Equal(code, saddlectl.ExitUsage)
			is.True(strings.Contains(errOut.String(), "control-replace")) // the message names the command
		})
	}
}
