package saddlectl

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// diff lists the lines that a submission would change.
type diff struct {
	Kind  string     `json:"kind"`
	Name  string     `json:"name"`
	Base  uint64     `json:"base"` // revision compared with; 0 if none exists
	Lines []diffLine `json:"lines,omitempty"`
}

// diffLine is a removed or an added line.
type diffLine struct {
	Op   string `json:"op"` // "-" or "+"
	Text string `json:"text"`
}

func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(text, "\n"), "\n")
}

// newDiff returns the lines that differ, in order, based on a longest common
// subsequence. Time and memory are quadratic in the number of lines; a template is at
// most 256 KiB.
func newDiff(kind, name string, base uint64, before, after []string) *diff {
	d := &diff{Kind: kind, Name: name, Base: base}
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	common := lcsLengths(before, after)
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i++
			j++
		case j == len(after) || (i < len(before) && common[i+1][j] >= common[i][j+1]):
			d.Lines = append(d.Lines, diffLine{Op: "-", Text: before[i]})
			i++
		default:
			d.Lines = append(d.Lines, diffLine{Op: "+", Text: after[j]})
			j++
		}
	}
	return d
}

// lcsLengths returns, at index [i][j], the length of the longest common subsequence of
// before[i:] and after[j:].
func lcsLengths(before, after []string) [][]int {
	out := make([][]int, len(before)+1)
	for i := range out {
		out[i] = make([]int, len(after)+1)
	}
	for i, a := range slices.Backward(before) {
		for j, b := range slices.Backward(after) {
			out[i][j] = max(out[i+1][j], out[i][j+1])
			if a == b {
				out[i][j] = out[i+1][j+1] + 1
			}
		}
	}
	return out
}

func (d *diff) write(w io.Writer) {
	if len(d.Lines) == 0 {
		_, _ = fmt.Fprintf(w, "%s %s: no difference from revision %d\n", d.Kind, d.Name, d.Base)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s, compared with revision %d\n", d.Kind, d.Name, d.Base)
	for _, l := range d.Lines {
		_, _ = fmt.Fprintln(w, l.Op+" "+l.Text)
	}
}
