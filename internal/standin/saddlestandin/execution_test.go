package saddlestandin_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// executions returns the executions of positions [from, to) on an engine that
// holds the layers [firstLayer, firstLayer+2).
func executions(engine string, firstLayer, from, to uint32) []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for p := from; p < to; p++ {
		out = append(out, saddlestandin.Execution{Engine: engine, Request: "r", Attempt: 1, Position: p, LayerFrom: firstLayer, LayerTo: firstLayer + 2})
	}
	return out
}

func importExecution(engine string, positions uint32) []saddlestandin.Execution {
	return []saddlestandin.Execution{{
		Engine: engine, Request: "r", Attempt: 1, Position: positions, LayerTo: 2, Imported: true,
	}}
}

func join(parts ...[]saddlestandin.Execution) []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func TestCheckOrderAfterLoss(t *testing.T) {
	cases := []struct {
		name       string
		valid      bool
		lost       []string
		executions []saddlestandin.Execution
	}{
		{"one engine", true, nil, executions("a", 0, 0, 5)},
		{"a repeated position", false, nil, join(executions("a", 0, 0, 3), executions("a", 0, 2, 5))},
		{"a skipped position", false, nil, join(executions("a", 0, 0, 3), executions("a", 0, 4, 5))},
		{"out of order", false, nil, join(executions("a", 0, 1, 2), executions("a", 0, 0, 1))},
		{"two engines, none lost", false, nil, join(executions("a", 0, 0, 3), executions("b", 0, 0, 3))},
		{"a replacement that starts from position 0", true, []string{"a"}, join(executions("a", 0, 0, 3), executions("b", 0, 0, 5))},
		{"a replacement that starts from an imported cache", true, []string{"a"}, join(executions("a", 0, 0, 3), importExecution("b", 2), executions("b", 0, 2, 5))},
		{"a replacement that skips a position", false, []string{"a"}, join(executions("a", 0, 0, 3), importExecution("b", 2), executions("b", 0, 3, 5))},
		{"a replacement that repeats a position", false, []string{"a"}, join(executions("a", 0, 0, 3), importExecution("b", 2), executions("b", 0, 1, 5))},
		{"an import of more positions than the lost engine ran", false, []string{"a"}, join(executions("a", 0, 0, 3), importExecution("b", 4), executions("b", 0, 4, 5))},
		{"an import without a loss", false, nil, join(importExecution("b", 2), executions("b", 0, 2, 5))},
		{"a replacement of the replacement", true, []string{"a", "b"}, join(
			executions("a", 0, 0, 3), importExecution("b", 2), executions("b", 0, 2, 5), importExecution("c", 4), executions("c", 0, 4, 6))},
		{"another stage that repeats a position", false, []string{"a"}, join(
			executions("a", 0, 0, 3), executions("z", 2, 0, 3), executions("b", 0, 0, 5), executions("z", 2, 2, 5))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := saddlestandin.CheckOrderAfterLoss(c.executions, c.lost...)
			if c.valid {
				is.NoErr(err)
				return
			}
			var positionErr *saddlestandin.PositionError
			is.True(errors.As(err, &positionErr))
		})
	}
}
