package saddlestandin_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflysaddle/fireflysaddle/internal/standin/saddlestandin"
)

// ran returns the executions of positions [from, to) at an engine that holds
// the layers [layer, layer+2).
func ran(engine string, layer, from, to uint32) []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for p := from; p < to; p++ {
		out = append(out, saddlestandin.Execution{Engine: engine, Request: "r", Attempt: 1, Position: p, LayerFrom: layer, To: layer + 2})
	}
	return out
}

func imported(engine string, positions uint32) []saddlestandin.Execution {
	return []saddlestandin.Execution{{
		Engine: engine, Request: "r", Attempt: 1, Position: positions, To: 2, Imported: true,
	}}
}

func join(parts ...[]saddlestandin.Execution) []saddlestandin.Execution {
	var out []saddlestandin.Execution
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func TestCheckRecovered(t *testing.T) {
	cases := []struct {
		name string
		good bool
		lost []string
		ran  []saddlestandin.Execution
	}{
		{"one engine", true, nil, ran("a", 0, 0, 5)},
		{"a position twice", false, nil, join(ran("a", 0, 0, 3), ran("a", 0, 2, 5))},
		{"a position left out", false, nil, join(ran("a", 0, 0, 3), ran("a", 0, 4, 5))},
		{"out of order", false, nil, join(ran("a", 0, 1, 2), ran("a", 0, 0, 1))},
		{"two engines, none lost", false, nil, join(ran("a", 0, 0, 3), ran("b", 0, 0, 3))},
		{"a replacement from the start", true, []string{"a"}, join(ran("a", 0, 0, 3), ran("b", 0, 0, 5))},
		{"a replacement from an export", true, []string{"a"}, join(ran("a", 0, 0, 3), imported("b", 2), ran("b", 0, 2, 5))},
		{"a replacement that skips", false, []string{"a"}, join(ran("a", 0, 0, 3), imported("b", 2), ran("b", 0, 3, 5))},
		{"a replacement that repeats", false, []string{"a"}, join(ran("a", 0, 0, 3), imported("b", 2), ran("b", 0, 1, 5))},
		{"an export of more than was run", false, []string{"a"}, join(ran("a", 0, 0, 3), imported("b", 4), ran("b", 0, 4, 5))},
		{"an import without a loss", false, nil, join(imported("b", 2), ran("b", 0, 2, 5))},
		{"a replacement of the replacement", true, []string{"a", "b"}, join(
			ran("a", 0, 0, 3), imported("b", 2), ran("b", 0, 2, 5), imported("c", 4), ran("c", 0, 4, 6))},
		{"another stage that ran twice", false, []string{"a"}, join(
			ran("a", 0, 0, 3), ran("z", 2, 0, 3), ran("b", 0, 0, 5), ran("z", 2, 2, 5))},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := saddlestandin.CheckOrderAfterLoss(c.ran, c.lost...)
			if c.good {
				is.NoErr(err)
				return
			}
			var order *saddlestandin.OrderError
			is.True(errors.As(err, &order))
		})
	}
}
